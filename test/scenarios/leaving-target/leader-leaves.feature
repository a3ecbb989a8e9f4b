Feature: A leaving target receives no new work

  Background:
    Given an installation:
      | shared_engine_process | true                                   |
      | engines               | 5                                      |
      | engine_flags          | --cold-slots 6 --token-interval-s 0.02 |
    And a manifest with 2 replicas of 2 instances is published
    And 2 replicas serve within 15 s

  Scenario: The leader under streams is announced to leave while a holder dies
    When 4 callers stream 200 tokens
    And every open stream has 5 tokens within 10 s
    And the serving leader is marked as leaving
    And the lease holder is killed
    Then callers stay served for 5 s
    And every stream has ended whole within 20 s
