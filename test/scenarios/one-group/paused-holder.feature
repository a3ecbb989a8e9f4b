Feature: No instance belongs to two groups at once

  Background:
    Given an installation:
      | shared_engine_process | true                                                  |
      | engines               | 5                                                     |
      | engine_flags          | --cold-slots 6 --token-interval-s 0.03 --ignore-fence |
    And a manifest with 2 replicas of 2 instances that ignore the fence is published
    And 2 replicas serve within 15 s

  Scenario: A paused holder of leases wakes after a successor took over
    When the lease holder is paused
    Then another controller holds every lease within 15 s
    When a serving follower turns crash
    And north-controller-0 goes on
    And north-controller-1 goes on
    Then 2 replicas serve within 20 s
    And callers stay served for 2 s
