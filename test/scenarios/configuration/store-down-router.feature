Feature: A router that starts while the store is down sends callers to others

  Background:
    Given an installation:
      | engines      | 2                          |
      | services     | 0                          |
      | engine_flags | --cold-slots 16 --slots 16 |
    And a manifest with 1 replica of 2 instances is published
    And 1 replica serves within 15 s

  Scenario: A router is replaced while the store is down
    When the store is down
    And north-router-1 is killed
    And north-router-1 starts again
    And 4 callers stream 5 tokens
    Then every stream has ended whole within 8 s
    When the store is up
    Then north-router-1 is ready within 8 s
    And version 1 is in force everywhere within 5 s
