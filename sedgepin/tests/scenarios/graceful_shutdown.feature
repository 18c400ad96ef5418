Feature: A graceful shutdown of a VM interrupts no request in flight

  Background:
    Given a system with 3 control VMs, 3 entry VMs and 2 replicas of each stage

  Scenario: An entry VM shuts down under load
    When "clerk" requests 60 tokens from entry-1
    And "teller" records receipt a through entry-1
    And entry-1 begins a graceful shutdown
    And 1 seconds pass
    And "late clerk" requests 10 tokens from entry-1
    Then entry-1 is not ready
    And entry-1 is not idle
    And "clerk" receives the complete answer of 60 tokens
    And "late clerk" receives the complete answer of 10 tokens
    And "teller" receives an answer
    And entry-1 becomes idle

  Scenario: A draining entry VM rejects requests after the notice period
    When entry-1 begins a graceful shutdown
    And 6 seconds pass
    And "clerk" requests 10 tokens from entry-1
    Then "clerk" is rejected with code draining and outcome not_run
    And "clerk" receives a retry delay

  Scenario: The leader transfers leadership before it shuts down
    When the leader begins a graceful shutdown
    Then another leader is elected within 0.2 seconds

  Scenario: The leader shuts down during a call
    When "clerk" records receipt a through entry-1
    And 0.001 seconds pass
    And the leader begins a graceful shutdown
    And 1 seconds pass
    And "second clerk" records receipt b through entry-1
    Then "clerk" receives an answer
    And "second clerk" receives an answer
    And receipt a was executed 1 times
    And receipt b was executed 1 times
