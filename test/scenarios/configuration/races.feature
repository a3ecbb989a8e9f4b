Feature: An accepted configuration is in force everywhere and never reverts

  Background:
    Given an installation:
      | engines     | 2 |
      | services    | 0 |
      | routers     | 2 |
      | controllers | 2 |
    And a manifest with 1 replica of 2 instances is published
    And 1 replica serves within 15 s

  Scenario: Operators race, answers are lost, and processes are cut off
    When two operators publish 1 and 2 replicas of 2 instances at once
    Then version 2 is in force everywhere within 5 s
    When the store loses the answer to the next write of configuration
    And a manifest with 1 replica of 2 instances is published
    Then version 3 is in force everywhere within 5 s
    When north-router-0 is cut off from the platform
    And a manifest with 1 replica of 2 instances is published
    Then version 4 is in force everywhere within 5 s
    When north-router-0 is cut off from all other routers and controllers
    Then north-router-0 takes no new work within 8 s
    When all links are healed
    Then north-router-0 is ready within 8 s
