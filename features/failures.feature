Feature: What fails

  Scenario Outline: <fault> breaks no promise and ends without a human
    Given a nile-grain site under load
    When the fault <fault> lasts <seconds> seconds
    Then no promise is broken
    And writes land again within 5 seconds
    And no instance had more connections than its cap

    Examples:
      | fault                               | seconds |
      | primary_killed                      | 4       |
      | primary_cut_off                     | 4       |
      | primary_paused                      | 4       |
      | primary_slow                        | 4       |
      | store_down                          | 8       |
      | store_down_and_primary_killed       | 4       |
      | store_slow_and_primary_killed       | 4       |
      | answer_lost_and_primary_killed      | 4       |
      | gate_vm_killed                      | 4       |
      | gate_vm_paused                      | 6       |
      | primary_and_gate_vm_killed          | 4       |
      | platform_cut_off_and_primary_paused | 4       |

  Scenario: Two faults of a kind, one after the other
    Given a nile-grain site under load
    When the fault primary_paused lasts 4 seconds
    And the fault primary_paused lasts 4 seconds
    Then no promise is broken

  Scenario: Replicas fall far behind
    Given a nile-grain site whose replicas lag 4 and 8 seconds
    When a session writes and reads back 5 times
    Then every read shows the session's last write

  Scenario: A proxy dies in the middle of a transaction
    Given a nile-grain site
    When a transaction's VM dies before the commit
    Then nothing of the transaction is in the log
    And its connection is free again

  Scenario: Two operators race to change the same thing
    Given a nile-grain site
    When two operators apply different documents to the same version
    Then one is accepted, one gets a typed conflict, and both are audited

  Scenario: The answer to an accepted change is lost
    Given a nile-grain site
    When the platform loses the answer to an operator's change
    Then the operator is told that it was accepted

  Scenario: An availability zone without the platform follows its peers
    Given a nile-grain site
    When one availability zone loses the platform
    And a configuration is accepted
    Then it is in force on every VM within 7 seconds
