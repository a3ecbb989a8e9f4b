Feature: A non-idempotent call runs at most once

  Background:
    Given an installation:
      | engines  | 0 |
      | services | 2 |
    And a manifest with 1 replica of 1 instance is published
    And version 1 is in force everywhere within 10 s

  Scenario: A call is repeated through another router after every kind of loss
    When book is called with key plain through north-router-0
    Then the last call is answered
    When book is called with key plain through north-router-1
    Then key plain ran 1 time within 2 s
    When the store loses the answer to the next write of intents
    And book is called with key lost through north-router-0
    And book is called with key lost through north-router-1
    Then key lost stays at 1 run for 1 s
    When every service turns cut_after for 1 call
    And book is called with key cut through north-router-0
    Then the last call is refused as may_have_run
    When book is called with key cut through north-router-1
    Then key cut stays at 1 run for 1 s
    When every service answers 5 s late for 1 call
    And pay is being called with key killed through north-router-0
    And key killed ran 1 time within 5 s
    And north-router-0 is killed
    And pay is called with key killed through north-router-1
    Then key killed stays at 1 run for 2 s
    When the store is down
    And pay is called with key down through north-router-1
    Then the last call is refused as not_run
    When the store is up
    And pay is called with key down through north-router-1
    Then key down ran 1 time within 5 s
