import assert from 'node:assert/strict';
import {test} from 'node:test';
import {asNumber, type LogIndex} from '../../types/ids.js';
import {DomainStateMachine} from '../domain_log.js';

const START_MS = 1_800_000_000_000;
const LEASE = 'orders centro-a';

function acquire(machine: DomainStateMachine, index: number): number {
  const result = machine.apply(
    {
      area: 'orders',
      command: {
        kind: 'acquire',
        lease: LEASE,
        holder: 'centro-1#1',
        durationMs: 6_000,
      },
    },
    asNumber<LogIndex>(index),
  );
  return 'lease' in result ? result.lease.token : 0;
}

function startedAt(nowMs: number): DomainStateMachine {
  const machine = new DomainStateMachine();
  machine.apply(
    {
      area: 'records',
      command: {kind: 'start_generation', nowMs, unknownBeforeMs: nowMs},
    },
    asNumber<LogIndex>(1),
  );
  return machine;
}

// Guards against orders that upstreams refuse after a new generation of the log
// has started, because its indexes, and with them the tokens, restarted at 1.
test('fencing tokens keep growing in a new generation of the log', () => {
  const before = acquire(startedAt(START_MS), 900_000);
  const after = acquire(startedAt(START_MS + 60_000), 2);
  assert.ok(after > before);
});

test('a snapshot preserves leases and fencing tokens', () => {
  const machine = startedAt(START_MS);
  const token = acquire(machine, 5);
  const restored = new DomainStateMachine();
  restored.restore(machine.snapshot());
  assert.equal(restored.lease(LEASE)?.token, token);
});
