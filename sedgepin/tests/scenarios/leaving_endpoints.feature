Feature: A leaving endpoint receives no new work after a few seconds

  Background:
    Given a system with 3 control VMs, 3 entry VMs and 2 replicas of each stage

  Scenario: An endpoint leaves under load
    When "one" requests 5 tokens from entry-1
    And "two" requests 5 tokens from entry-2
    And "three" requests 5 tokens from entry-3
    And 1 seconds pass
    And endpoint engine-12-0 starts to leave
    And 1 seconds pass
    And "four" requests 5 tokens from entry-1
    And "five" requests 5 tokens from entry-2
    And "six" requests 5 tokens from entry-3
    And 3 seconds pass
    And "seven" requests 5 tokens from entry-1
    And "eight" requests 5 tokens from entry-2
    And "nine" requests 5 tokens from entry-3
    And "ten" requests 5 tokens from entry-3
    Then "ten" receives the complete answer of 5 tokens
    And "six" receives the complete answer of 5 tokens
    And endpoint engine-12-0 received no work later than 3 seconds after it began to leave

  Scenario: An endpoint leaves while its data centre is partitioned
    When "one" requests 5 tokens from entry-1
    And "two" requests 5 tokens from entry-2
    And 1 seconds pass
    And data centre beja is partitioned from the others
    And endpoint ledger starts to leave
    And "reader" reads the ledger through entry-2
    And 3.1 seconds pass
    And "second reader" reads the ledger through entry-2
    And "third reader" reads the ledger through entry-1
    Then "second reader" is rejected with code no_endpoint and outcome not_run
    And "third reader" is rejected with code no_endpoint and outcome not_run
    And endpoint ledger received no work later than 3 seconds after it began to leave

  Scenario: A frozen entry VM resumes with stale announcements
    When "reader" reads the ledger through entry-1
    And entry-1 freezes
    And 1 seconds pass
    And endpoint ledger starts to leave
    And messages from entry-1 to ledger are lost
    And messages from ledger to entry-1 are lost
    And 5 seconds pass
    And entry-1 resumes
    And "second reader" reads the ledger through entry-1
    Then "second reader" is rejected with code no_endpoint and outcome not_run
    And endpoint ledger received no work later than 3 seconds after it began to leave
