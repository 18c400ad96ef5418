Feature: An accepted release note is in force everywhere and is never reverted

  Background:
    Given a system with 3 control VMs, 4 entry VMs and 2 replicas of each stage

  Scenario: A release note comes into force after its acceptance
    When operator "amel" publishes release note 2 with id a at the leader
    Then release note 2 is in force on every running entry VM within 0.2 seconds
    And the audit trail records an election, an accepted note and a joined VM

  Scenario: Two operators publish the same note number concurrently
    When operator "amel" publishes release note 2 with id a at the leader
    And operator "sami" publishes release note 2 with id b at the leader
    Then exactly one of the notes of "amel" and "sami" is accepted
    And release note 2 is in force on every running entry VM within 3 seconds

  Scenario: A release note is resent after its answer was lost
    When operator "amel" publishes release note 2 with id a at the leader
    And the leader is killed
    And a new leader is elected
    And operator "amel again" publishes release note 2 with id a at the leader
    Then "amel again" receives the original acceptance of a
    And release note 2 is in force on every running entry VM within 3 seconds
    And no VM ever reverted to an older release note

  Scenario: VMs restart after hundreds of release notes
    When 500 release notes are published one after another
    And the leader is killed
    And entry-1 is killed
    And a new leader is elected
    And the old leader restarts
    And entry-1 restarts
    Then entry-1 is ready
    And release note 501 is in force on every running entry VM within 3 seconds
    And no VM ever reverted to an older release note

  Scenario: A data centre is partitioned and reconnected
    When data centre beja is partitioned from the others
    And 2 seconds pass
    And a new leader is elected
    And operator "amel" publishes release note 2 with id a at the leader
    And 2 seconds pass
    And entry-1 is killed
    And entry-1 restarts
    Then entry-1 is ready
    When all partitions heal
    Then release note 2 is in force on every running entry VM within 3 seconds
    And no VM ever reverted to an older release note

  Scenario: A restarted VM without connections is not ready
    When entry-2 is killed
    And entry-2 is isolated
    And entry-2 restarts
    And 10 seconds pass
    Then entry-2 is not ready
    When all partitions heal
    Then entry-2 is ready
