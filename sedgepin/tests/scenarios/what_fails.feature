Feature: What fails, alone and in pairs

  Scenario: A control VM is isolated for minutes while it believes to lead
    Given a system with 3 control VMs, 3 entry VMs and 2 copies of each stage
    When version 2 of the model is published
    And 1.5 seconds pass
    And the leader is isolated from all VMs but not endpoints
    And 120 seconds pass
    Then the old leader gave no order after 0.5 seconds
    And every engine serves version 2 in time
    And orders carry rising fencing tokens, whoever gives them
    When the cuts heal
    And 2 seconds pass
    Then no VM ever went back to an older note

  Scenario: The leader freezes for longer than its lease, and wakes
    Given a system with 3 control VMs, 3 entry VMs and 2 copies of each stage
    When version 2 of the model is published
    And 1.5 seconds pass
    And the leader freezes
    And a new leader is there
    And 10 seconds pass
    And the old leader wakes
    And 60 seconds pass
    Then every engine serves version 2 in time
    And orders carry rising fencing tokens, whoever gives them

  Scenario: A second VM is lost right after a repair
    Given a system with 3 control VMs, 3 entry VMs and 2 copies of each stage
    When operator "amel" publishes note 2 as a at the leader
    And 1 seconds pass
    And the leader is killed
    And the killed VM loses its disk
    And the killed VM starts again
    And 8 seconds pass
    And the leader is killed
    Then a command is committed within 2 seconds
    When operator "amel" publishes note 3 as b at the leader
    Then note 3 is in force on every running entry VM within 3 seconds
    And no VM ever went back to an older note

  Scenario: A request crashes each endpoint that runs it
    Given a system with 3 control VMs, 3 entry VMs and 4 copies of each stage
    When "clerk" sends a request that crashes engines to entry-1
    And 3 seconds pass
    And "clerk again" sends a request that crashes engines to entry-2
    And "clerk once more" sends a request that crashes engines to entry-3
    Then "clerk" is refused as request_quarantined, unknown
    And "clerk again" is refused as request_quarantined, unknown
    And "clerk again" heard within 0.1 seconds
    And "clerk once more" is refused as request_quarantined, unknown
    And "clerk once more" is told when to come back
    And at most 2 endpoints are dead
    And the audit trail tells of a quarantined request

  Scenario: It is sent to three VMs at once while control has no leader
    Given a system with 3 control VMs, 3 entry VMs and 4 copies of each stage
    When the leader is killed
    And "one" sends a request that crashes engines to entry-1
    And 0.1 seconds pass
    And "two" sends a request that crashes engines to entry-2
    And "three" sends a request that crashes engines to entry-3
    And 5 seconds pass
    And "four" sends a request that crashes engines to entry-1
    Then "four" is refused as request_quarantined, unknown
    And at most 2 endpoints are dead

  Scenario: A rack dies at once and condemns no innocent request
    Given a system with 3 control VMs, 3 entry VMs and 3 copies of each stage
    When "one" asks entry-1 for 60 tokens
    And "two" asks entry-2 for 60 tokens
    And "three" asks entry-3 for 60 tokens
    And "four" asks entry-1 for 60 tokens
    And 0.4 seconds pass
    And the engines of data centre beja die at once
    Then "one" has the whole answer of 60 tokens
    And "two" has the whole answer of 60 tokens
    And "three" has the whole answer of 60 tokens
    And "four" has the whole answer of 60 tokens

  Scenario: A disk is lost while a data centre is cut off
    Given a system with 3 control VMs, 3 entry VMs and 2 copies of each stage
    When operator "amel" publishes note 2 as a at the leader
    And 2 seconds pass
    And data centre bousalem is cut off
    And 2 seconds pass
    And control-3 is killed
    And control-3 loses its disk
    And control-3 starts again
    And 5 seconds pass
    And the cuts heal
    And 10 seconds pass
    And operator "sami" publishes note 3 as b at the leader
    Then note 3 is in force on every running entry VM within 3 seconds
    And no VM ever went back to an older note

  Scenario: A one-way cut between the leader and another control VM
    Given a system with 3 control VMs, 3 entry VMs and 2 copies of each stage
    When control-2 no longer reaches control-1
    And 3 seconds pass
    And operator "amel" publishes note 2 as a at the leader
    Then note 2 is in force on every running entry VM within 3 seconds

  Scenario: A VM joins while work is running
    Given a system with 3 control VMs, 3 entry VMs and 2 copies of each stage
    When entry-3 is killed
    And "clerk" asks entry-1 for 60 tokens
    And 0.2 seconds pass
    And entry-3 starts again
    And 3 seconds pass
    And "editor" asks entry-3 for 10 tokens
    Then "clerk" has the whole answer of 60 tokens
    And "editor" has the whole answer of 10 tokens
