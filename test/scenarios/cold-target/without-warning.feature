Feature: A target that turns cold without warning never receives too much

  Background:
    Given an installation:
      | shared_engine_process | true                                             |
      | engines               | 2                                                |
      | routers               | 3                                                |
      | engine_flags          | --cold-slots 2 --slots 8 --token-interval-s 0.01 |
    And a manifest with 1 replica of 2 instances is published
    And 1 replica serves within 15 s

  Scenario: A warm target turns cold in a burst, in the same incarnation
    When 24 callers stream 20 tokens
    Then every stream has ended whole within 30 s
    When the serving leader turns cold
    And 12 callers stream 20 tokens
    Then every stream has ended within 40 s
