import assert from 'node:assert/strict';
import {mock, test} from 'node:test';
import {okAsync, type ResultAsync} from 'neverthrow';
import {pino} from 'pino';
import {setMonotonicSource} from '../../clock/clock.js';
import {
  ReplicatedLog,
  type ReplicaMember,
  type ReplicaStatus,
} from '../../replication/replicated_log.js';
import {RpcClient, RpcRouter} from '../../rpc/rpc.js';
import {GatewayError} from '../../types/errors.js';
import {
  asId,
  asNumber,
  type LogIndex,
  type MemberId,
  type Term,
} from '../../types/ids.js';
import {MembershipManager} from '../membership_manager.js';

function member(instance: string): ReplicaMember {
  return {
    memberId: asId<MemberId>(`${instance}#1`),
    address: `${instance}:1`,
    weight: 1,
  };
}

/** A log of a leader whose members are set by the test. */
class LeaderLog extends ReplicatedLog<never, never> {
  readonly removed: string[] = [];

  constructor(public members: readonly ReplicaMember[]) {
    super();
  }

  override propose(): ResultAsync<never, GatewayError> {
    throw new Error('not used');
  }

  override readBarrier(): ResultAsync<void, GatewayError> {
    return okAsync(undefined);
  }

  override changeMembership(change: {
    readonly kind: string;
    readonly memberId?: MemberId;
  }): ResultAsync<void, GatewayError> {
    this.removed.push(change.memberId ?? '');
    this.members = this.members.filter(
      each => each.memberId !== change.memberId,
    );
    return okAsync(undefined);
  }

  override status(): ReplicaStatus {
    return {
      memberId: member('a').memberId,
      role: 'leader',
      leader: member('a').memberId,
      term: asNumber<Term>(1),
      commitIndex: asNumber<LogIndex>(1),
      appliedIndex: asNumber<LogIndex>(1),
      members: this.members,
    };
  }

  override stop(): Promise<void> {
    return Promise.resolve();
  }
}

/** An RPC client that gets answers only from reachable addresses. */
class PartialNetwork extends RpcClient {
  constructor(public reachable: readonly string[]) {
    super();
  }

  override close(): Promise<void> {
    return Promise.resolve();
  }

  protected override send(address: string): Promise<unknown> {
    if (this.reachable.includes(address)) return Promise.resolve({});
    const error = new GatewayError({
      code: 'unreachable',
      message: 'silent',
      step: 'ping',
      peer: address,
    });
    return Promise.reject(error);
  }
}

async function advance(totalMs: number): Promise<void> {
  const steps = Array.from({length: totalMs / 100}, (_, step) => step);
  await steps.reduce(async before => {
    await before;
    mock.timers.tick(100);
    await new Promise(resolve => process.nextTick(resolve));
  }, Promise.resolve());
}

// Guards against a lost member that counts towards the quorum forever, and
// against the removal of a member that has not been replaced.
test('an unresponsive member is removed only once it is replaced', async () => {
  mock.timers.enable({apis: ['setInterval', 'setTimeout', 'Date']});
  const clock = setMonotonicSource(Date.now);
  const log = new LeaderLog(['a', 'b', 'c'].map(member));
  const network = new PartialNetwork(['b:1', 'c:1']);
  const manager = new MembershipManager({
    log: log as unknown as ReplicatedLog<never, unknown>,
    client: network,
    router: new RpcRouter(),
    logger: pino({level: 'silent'}),
    self: member('a'),
    methodPrefix: 'test',
    toleratedLosses: 1,
    seedAddresses: () => ['a:1', 'b:1', 'c:1'],
  });
  manager.start();
  await advance(2_000);
  network.reachable = ['b:1'];
  await advance(10_000);
  const removedWithoutReplacement = [...log.removed];
  log.members = [...log.members, member('d')];
  network.reachable = ['b:1', 'd:1'];
  await advance(4_000);
  manager.stop();
  clock.restore();
  mock.timers.reset();
  assert.deepEqual(removedWithoutReplacement, []);
  assert.deepEqual(log.removed, ['c#1']);
});
