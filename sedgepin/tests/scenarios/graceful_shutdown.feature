Feature: A graceful shutdown of any VM cuts off no request in flight

  Background:
    Given a system with 3 control VMs, 3 entry VMs and 2 copies of each stage

  Scenario: An entry VM shuts down under load
    When "clerk" asks entry-1 for 60 tokens
    And "teller" records receipt a through entry-1
    And entry-1 is told to shut down
    And 1 seconds pass
    And "late clerk" asks entry-1 for 10 tokens
    Then entry-1 is not ready
    And entry-1 still has work to do
    And "clerk" has the whole answer of 60 tokens
    And "late clerk" has the whole answer of 10 tokens
    And "teller" hears an answer
    And entry-1 has nothing left to do

  Scenario: After the notice period it takes nothing new
    When entry-1 is told to shut down
    And 6 seconds pass
    And "clerk" asks entry-1 for 10 tokens
    Then "clerk" is refused as draining, not_run
    And "clerk" is told when to come back

  Scenario: The leader hands over before it goes
    When the leader is told to shut down
    Then another leader is there within 0.2 seconds

  Scenario: The leader shuts down while a receipt is recorded
    When "clerk" records receipt a through entry-1
    And 0.001 seconds pass
    And the leader is told to shut down
    And 1 seconds pass
    And "second clerk" records receipt b through entry-1
    Then "clerk" hears an answer
    And "second clerk" hears an answer
    And receipt a was executed 1 times
    And receipt b was executed 1 times
