Feature: A refusal that says a request was not run is true

  Background:
    Given an installation:
      | engines  | 2 |
      | services | 2 |
    And a manifest with 1 replica of 2 instances is published
    And 1 replica serves within 15 s

  Scenario: A service refuses, cuts before and after the run, and is gone
    When every service turns refuse for 50 calls
    And pay is called with key refused through north-router-0
    Then the last call is refused as not_run
    And key refused ran 0 times within 2 s
    When every service turns cut_after for 1 call
    And pay is called with key cut-after through north-router-0
    Then the last call is refused as may_have_run
    And key cut-after ran 1 time within 2 s
    When every service turns cut_before for 1 call
    And pay is called with key cut-before through north-router-1
    Then the last call is refused as may_have_run
    And key cut-before ran 0 times within 2 s
    When north-booking-0 is killed
    And north-booking-1 is killed
    And pay is called with key gone through north-router-0
    Then the last call is refused as not_run
