Feature: What serves goes on while the store is down

  Background:
    Given an installation:
      | engines      | 2                          |
      | services     | 0                          |
      | engine_flags | --cold-slots 16 --slots 16 |
    And a manifest with 1 replica of 2 instances is published
    And 1 replica serves within 15 s

  Scenario: The store is down beyond the leases while a replica is warm
    When the store is down
    And 1 caller streams 400 tokens
    Then every stream has ended whole within 20 s
    When 4 callers stream 5 tokens
    Then every stream has ended whole within 8 s
    When the store is up
    Then version 1 is in force everywhere within 5 s
