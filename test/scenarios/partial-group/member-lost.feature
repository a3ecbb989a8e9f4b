Feature: No partial group of instances ever serves a request

  Background:
    Given an installation:
      | shared_engine_process | true                                   |
      | engines               | 5                                      |
      | engine_flags          | --cold-slots 6 --token-interval-s 0.03 |
    And a manifest with 2 replicas of 2 instances is published
    And 2 replicas serve within 15 s

  Scenario: A member hangs and another falls over while a controller is paused
    When 6 callers stream 50 tokens
    And every open stream has 5 tokens within 10 s
    And the lease holder is paused
    And a serving follower turns hang
    And it turns up
    And a serving follower turns crash
    Then every stream has ended whole within 30 s
    And 2 replicas serve within 20 s
    And callers stay served for 3 s
