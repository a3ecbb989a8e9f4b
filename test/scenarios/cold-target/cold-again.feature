Feature: A target in a cold start never receives more than it can bear

  Background:
    Given an installation:
      | shared_engine_process | true                                             |
      | engines               | 4                                                |
      | routers               | 3                                                |
      | engine_flags          | --cold-slots 2 --slots 8 --token-interval-s 0.01 |
    And a manifest with 2 replicas of 2 instances is published
    And 2 replicas serve within 15 s

  Scenario: A burst meets cold targets, one falls over and a holder dies
    When 24 callers stream 20 tokens
    Then every stream has ended whole within 30 s
    When 8 callers stream 20 tokens
    And the serving leader turns crash
    And 16 callers stream 20 tokens
    And the lease holder is killed
    Then every stream has ended whole within 40 s
    And 2 replicas serve within 20 s
    When 16 callers stream 10 tokens
    Then every stream has ended whole within 30 s
