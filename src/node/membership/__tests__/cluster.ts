/**
 * In-process members on an in-memory network that delays and drops messages.
 */
import type {TestContext} from 'node:test';
import {setMonotonicSource} from '../../clock/clock.js';
import {RpcClient, RpcRouter} from '../../rpc/rpc.js';
import {GatewayError} from '../../types/errors.js';
import {asId, type InstanceId} from '../../types/ids.js';
import {
  createMembership,
  type Membership,
  type MembershipOptions,
} from '../membership.js';
import type {PeerAddress} from '../summaries.js';

/** Decides whether a message from one address to another is lost. */
export type LossRule = (from: string, to: string) => boolean;

/** Connects the routers of all members in memory. */
export class MemoryNetwork {
  readonly routers = new Map<string, RpcRouter>();
  loss: LossRule = () => false;
  oneWayMs = 4;

  client(from: string): MemoryClient {
    return new MemoryClient(this, from);
  }
}

class MemoryClient extends RpcClient {
  /** Whether the process behind this client was killed. */
  killed = false;

  constructor(
    private readonly network: MemoryNetwork,
    readonly from: string,
  ) {
    super();
  }

  override close(): Promise<void> {
    return Promise.resolve();
  }

  protected override send(
    address: string,
    method: string,
    params: unknown,
    timeoutMs: number,
  ): Promise<unknown> {
    const {network, from} = this;
    const body = JSON.stringify(params);
    const sender = asId<InstanceId>(from);
    return new Promise((resolve, reject) => {
      const timer = setTimeout(
        () =>
          reject(
            new GatewayError({
              code: 'timeout',
              message: 'no answer',
              step: 'rpc',
              peer: address,
            }),
          ),
        timeoutMs,
      );
      if (this.killed || network.loss(from, address)) return;
      setTimeout(() => {
        const router = network.routers.get(address);
        void router
          ?.dispatch(method, JSON.parse(body) as unknown, {sender})
          .then(answer => {
            if (network.loss(address, from)) return;
            setTimeout(() => {
              clearTimeout(timer);
              resolve(JSON.parse(JSON.stringify(answer)));
            }, network.oneWayMs);
          }, reject);
      }, network.oneWayMs);
    });
  }
}

/** Random numbers in [0, 1) from a seed. */
export function seededRandom(seed: number): () => number {
  let state = seed >>> 0;
  return () => {
    state = (Math.imul(state, 1664525) + 1013904223) >>> 0;
    return state / 2 ** 32;
  };
}

/** Ids and addresses of `domains` domains with `size` instances each. */
export function peerList(domains: number, size: number): PeerAddress[] {
  return Array.from({length: domains * size}, (_, index) => {
    const domain = Math.floor(index / size);
    const number = String(index % size).padStart(2, '0');
    return {
      instanceId: asId(`entry-${domain}-${number}`),
      domainId: asId(`domain-${domain}`),
      innerAddress: `10.${domain}.0.${index % size}:9000`,
    };
  });
}

/** Pauses timers and clocks but not `setImmediate`, which actors run on. */
export function pauseTimers(test: TestContext): void {
  test.mock.timers.enable({
    apis: ['setTimeout', 'setInterval', 'Date'],
    now: 1_800_000_000_000,
  });
  const source = setMonotonicSource(() => Date.now());
  test.after(() => source.restore());
}

const STEP_MS = 20;

/** Advances paused time and lets actors run after each step. */
export async function advance(test: TestContext, ms: number): Promise<void> {
  for (let passed = 0; passed < ms; passed += STEP_MS) {
    test.mock.timers.tick(STEP_MS);
    for (let turn = 0; turn < 3; turn++) {
      await new Promise(resolve => setImmediate(resolve));
    }
  }
}

/** A set of members by instance id. */
export class Cluster {
  readonly network = new MemoryNetwork();
  readonly members = new Map<string, Membership>();
  private readonly clients = new Map<string, MemoryClient>();

  constructor(
    readonly peers: readonly PeerAddress[],
    private readonly seed: number,
  ) {}

  start(
    instanceId: string,
    overrides: Partial<MembershipOptions> = {},
  ): Membership {
    const index = this.peers.findIndex(peer => peer.instanceId === instanceId);
    const peer = this.peers[index];
    if (peer === undefined) throw new Error(`no such peer: ${instanceId}`);
    const router = new RpcRouter();
    this.network.routers.set(peer.innerAddress, router);
    const client = this.network.client(peer.innerAddress);
    this.clients.set(instanceId, client);
    const membership = createMembership({
      ...peer,
      regionId: asId(`region-${peer.domainId}`),
      callerAddress: peer.innerAddress.replace('9000', '8000'),
      rpcClient: client,
      rpcRouter: router,
      peers: () => this.peers,
      incarnation: 1,
      random: seededRandom(this.seed * 1000 + index),
      ...overrides,
    });
    this.members.set(instanceId, membership);
    return membership;
  }

  startAll(overrides: Partial<MembershipOptions> = {}): void {
    this.peers.forEach(peer => this.start(peer.instanceId, overrides));
  }

  /** Simulates a crash: no message leaves the process or reaches it. */
  kill(instanceId: string): void {
    const client = this.clients.get(instanceId);
    if (client === undefined) throw new Error(`not started: ${instanceId}`);
    client.killed = true;
    this.network.routers.delete(client.from);
  }

  get(instanceId: string): Membership {
    const membership = this.members.get(instanceId);
    if (membership === undefined) throw new Error(`not started: ${instanceId}`);
    return membership;
  }
}
