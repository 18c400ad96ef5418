Feature: A call that is not idempotent is executed at most once

  Background:
    Given a system with 3 control VMs, 3 entry VMs and 2 replicas of each stage

  Scenario: A call is resent through another entry VM
    When "clerk" records receipt a through entry-1
    And 0.5 seconds pass
    And "clerk again" records receipt a through entry-2
    Then "clerk" and "clerk again" receive the same answer
    And receipt a was executed 1 times

  Scenario: A call is sent through three entry VMs concurrently
    When "one" records receipt a through entry-1
    And "two" records receipt a through entry-2
    And "three" records receipt a through entry-3
    Then "one" and "two" receive the same answer
    And "two" and "three" receive the same answer
    And receipt a was executed 1 times

  Scenario Outline: A call is resent after its entry VM was killed
    When "clerk" records receipt a through entry-1
    And <delay> seconds pass
    And entry-1 is killed
    And "clerk again" records receipt a through entry-2
    And 8 seconds pass
    Then no call was executed twice, and none that was reported as not run

    Examples:
      | delay  |
      | 0      |
      | 0.0006 |
      | 0.0011 |
      | 0.0016 |
      | 0.0021 |
      | 0.0026 |
      | 0.0031 |
      | 0.01   |
      | 0.0226 |
      | 0.0236 |
      | 0.03   |

  Scenario Outline: A call is resent after the leader was killed
    When "clerk" records receipt a through entry-1
    And <delay> seconds pass
    And the leader is killed
    And "clerk again" records receipt a through entry-2
    And 8 seconds pass
    Then "clerk" receives an answer
    And "clerk again" receives an answer
    And receipt a was executed 1 times

    Examples:
      | delay  |
      | 0      |
      | 0.0006 |
      | 0.0011 |
      | 0.0016 |
      | 0.0026 |
      | 0.01   |
      | 0.0236 |
      | 0.0241 |

  Scenario: The entry VM is killed before it records the result of a call
    When "clerk" records receipt a through entry-1
    And 0.01 seconds pass
    And entry-1 is killed
    And 6 seconds pass
    And "clerk again" records receipt a through entry-2
    Then "clerk again" is rejected with code outcome_unknown and outcome unknown
    And "clerk again" was answered within 0.2 seconds
    And receipt a was executed 1 times

  Scenario: A frozen entry VM resumes after its call was abandoned
    When "clerk" records receipt a through entry-1
    And 0.0011 seconds pass
    And entry-1 freezes
    And 10 seconds pass
    And "clerk again" records receipt a through entry-2
    And 2 seconds pass
    And entry-1 resumes
    And 5 seconds pass
    Then no call was executed twice, and none that was reported as not run

  Scenario: An entry VM that was declared lost accepts calls again
    When entry-1 freezes
    And 10 seconds pass
    And entry-1 resumes
    And 5 seconds pass
    And "clerk" records receipt a through entry-1
    Then "clerk" receives an answer
    And receipt a was executed 1 times

  Scenario: A partitioned data centre rejects writes and serves reads
    When data centre beja is partitioned from the others
    And 3 seconds pass
    And "clerk" records receipt a through entry-1
    And "reader" reads the ledger through entry-1
    Then "clerk" is rejected with code control_unavailable and outcome not_run
    And "clerk" receives a retry delay
    And "reader" receives an answer
    And receipt a was executed 0 times
