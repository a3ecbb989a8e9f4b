Feature: A graceful shutdown cuts off no request in progress

  Background:
    Given an installation:
      | shared_engine_process | true                                   |
      | engines               | 4                                      |
      | engine_flags          | --cold-slots 6 --token-interval-s 0.03 |
    And a manifest with 2 replicas of 2 instances is published
    And 2 replicas serve within 15 s

  Scenario: Routers and a controller end under streams, and are told twice
    When 8 callers stream 120 tokens
    And every open stream has 5 tokens within 10 s
    And north-router-0 is told to end
    And north-router-0 is told to end
    And the lease holder is told to end
    And callers stay served for 1 s
    Then every stream has ended whole within 20 s
    And north-router-0 has ended within 15 s
    When north-router-0 starts again
    And 8 callers stream 60 tokens
    And every open stream has 5 tokens within 10 s
    And the store is down
    And north-router-1 is told to end
    Then every stream has ended whole within 20 s
    And north-router-1 has ended within 15 s
