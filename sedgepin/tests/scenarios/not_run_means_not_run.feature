Feature: A request reported as not run was never executed

  Background:
    Given a system with 3 control VMs, 3 entry VMs and 2 replicas of each stage

  Scenario: The service is unreachable
    When endpoint ledger crashes
    And "clerk" records receipt a through entry-1
    Then "clerk" is rejected with code endpoint_not_reached and outcome not_run
    And receipt a was executed 0 times

  Scenario: The service crashes while it executes a call
    When "clerk" records receipt a through entry-1
    And 0.02 seconds pass
    And endpoint ledger crashes
    Then "clerk" is rejected with code outcome_unknown and outcome unknown
    And no call was executed twice, and none that was reported as not run

  Scenario: The control VMs have no quorum
    When the leader is killed
    And another control VM is killed
    And 1 seconds pass
    And "clerk" records receipt a through entry-1
    Then "clerk" is rejected with code control_unavailable and outcome not_run
    And "clerk" receives a retry delay
    And "clerk" was answered within 2.5 seconds
    And receipt a was executed 0 times

  Scenario: A rejected call is retried after the quorum is restored
    When the leader is killed
    And another control VM is killed
    And "clerk" records receipt a through entry-1
    And 4 seconds pass
    And the killed VM restarts
    And a new leader is elected
    And 3 seconds pass
    And "clerk again" records receipt a through entry-2
    Then "clerk again" receives an answer
    And receipt a was executed 1 times
    And no call was executed twice, and none that was reported as not run
