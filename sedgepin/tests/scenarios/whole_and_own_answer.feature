Feature: A caller receives the complete answer to its own request

  Background:
    Given a system with 3 control VMs, 3 entry VMs and 2 replicas of each stage

  Scenario: Late pieces and pieces of other requests are discarded
    When "clerk" requests 40 tokens from entry-1
    And "editor" requests 40 tokens from entry-1
    And 0.3 seconds pass
    And an engine that serves the request of "clerk" crashes
    And 0.3 seconds pass
    And all pieces of all attempts are delivered again on every stream
    Then "clerk" receives the complete answer of 40 tokens
    And "editor" receives the complete answer of 40 tokens

  Scenario: Endpoints stop responding in the middle of an answer
    When "clerk" requests 40 tokens from entry-1
    And 0.3 seconds pass
    And endpoint engine-12-0 stops responding
    And endpoint engine-0-1 stops responding
    Then "clerk" receives the complete answer of 40 tokens

  Scenario: A stage has no live engine
    When endpoint engine-12-0 crashes
    And endpoint engine-12-1 crashes
    And 3 seconds pass
    And "clerk" requests 40 tokens from entry-1
    Then "clerk" is rejected with code no_capacity and outcome not_run
    And "clerk" receives a retry delay
    And "clerk" was answered within 0.1 seconds

  Scenario: The last engine of a stage crashes in the middle of an answer
    When endpoint engine-12-0 crashes
    And 3 seconds pass
    And "clerk" requests 40 tokens from entry-1
    And 0.3 seconds pass
    And endpoint engine-12-1 crashes
    Then "clerk" is rejected with code answer_interrupted and outcome ran
    And "clerk" receives a retry delay
    And "clerk" was answered within 0.5 seconds
