Feature: Answers are whole even when they arrive late or crossed

  Background:
    Given an installation:
      | engines      | 4                                      |
      | engine_flags | --cold-slots 6 --token-interval-s 0.03 |
    And a manifest with 2 replicas of 2 instances is published
    And 2 replicas serve within 15 s

  Scenario: A leader is paused in the middle of the streams and wakes later
    When 6 callers stream 60 tokens
    And every open stream has 10 tokens within 10 s
    And the serving leader is paused
    Then 1 replica serves without it within 10 s
    When 6 callers stream 20 tokens
    And it goes on
    Then every stream has ended whole within 30 s
    And 2 replicas serve within 20 s
