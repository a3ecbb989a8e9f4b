Feature: A data centre that operators have taken out receives no new work

  Background:
    Given an installation:
      | shared_engine_process | true                                   |
      | data_centres          | north, south                           |
      | engines               | 2                                      |
      | routers               | 1                                      |
      | controllers           | 1                                      |
      | engine_flags          | --cold-slots 6 --token-interval-s 0.02 |
    And a manifest with 2 replicas of 2 instances is published
    And 2 replicas serve within 15 s

  Scenario: A router is killed while a data centre leaves and returns
    When 6 callers stream 150 tokens
    And every open stream has 5 tokens within 10 s
    And data centre south is drained
    And south-router-0 is killed
    Then version 2 is in force everywhere within 5 s
    And callers stay served for 5 s
    And every stream has ended within 20 s
    When south-router-0 starts again
    And data centre south is returned
    Then version 3 is in force everywhere within 5 s
    And 1 replica serves in south within 20 s
    And callers stay served for 1 s
