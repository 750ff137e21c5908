import assert from 'node:assert/strict';
import {test} from 'node:test';
import {errAsync, okAsync, type ResultAsync} from 'neverthrow';
import {pino} from 'pino';
import {
  ReplicatedLog,
  type ReplicaStatus,
} from '../../replication/replicated_log.js';
import {GatewayError} from '../../types/errors.js';
import {
  asId,
  asNumber,
  type DomainId,
  type LogIndex,
  type MemberId,
  type Term,
} from '../../types/ids.js';
import {OrderHistory} from '../order_history.js';
import {OrderProposer} from '../order_proposer.js';
import type {
  ControlChange,
  ControlChangeResult,
  EvacuationOrder,
} from '../route_table_machine.js';

const DOMAIN = asId<DomainId>('north-a');
const LEADER = asId<MemberId>('b');

/** A candidate that has won by the time the log takes the next proposal. */
class WinningLog extends ReplicatedLog<ControlChange, ControlChangeResult> {
  readonly appended: ControlChange[] = [];

  constructor(private readonly leader: MemberId | undefined) {
    super();
  }

  override propose(
    change: ControlChange,
  ): ResultAsync<ControlChangeResult, GatewayError> {
    this.appended.push(change);
    return okAsync({isChanged: true, version: 0});
  }

  override readBarrier(): ResultAsync<void, GatewayError> {
    return okAsync(undefined);
  }

  override changeMembership(): ResultAsync<void, GatewayError> {
    return errAsync(this.error());
  }

  override status(): ReplicaStatus {
    return {
      memberId: asId<MemberId>('a'),
      role: 'candidate',
      term: asNumber<Term>(2),
      ...(this.leader === undefined ? {} : {leader: this.leader}),
      commitIndex: asNumber<LogIndex>(10),
      appliedIndex: asNumber<LogIndex>(10),
      members: [],
    };
  }

  override stop(): Promise<void> {
    return Promise.resolve();
  }

  private error(): GatewayError {
    return new GatewayError({
      code: 'internal',
      message: 'not used',
      step: 'test',
      peer: 'self',
    });
  }
}

async function propose(leader: MemberId | undefined): Promise<unknown> {
  const log = new WinningLog(leader);
  const proposer = new OrderProposer({
    log,
    history: new OrderHistory(),
    logger: pino({level: 'silent'}),
  });
  const order: EvacuationOrder = {
    kind: 'set_evacuation',
    domain: DOMAIN,
    isEvacuated: false,
    base: asNumber<LogIndex>(10),
  };
  const result = await proposer.propose(order);
  const code = result.isErr() ? result.error.code : 'confirmed';
  const named = result.isErr() ? result.error.leader : undefined;
  return [code, named, log.appended.length];
}

// Guards against an order that a member proposes while it is elected: as the leader it
// would append the order without a look at its base, and undo a later one.
test('a member that does not lead yet appends no order', async () => {
  assert.deepEqual(
    [await propose(undefined), await propose(LEADER)],
    [
      ['not_leader', undefined, 0],
      ['not_leader', LEADER, 0],
    ],
  );
});
