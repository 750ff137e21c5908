/**
 * Measures the cost of the membership per node: bytes per second sent and
 * received, the share of a core, and heap bytes. All nodes of a deployment run
 * in this process; request bodies pass through the real JSON codec and the real
 * authentication. Run it with `node dist/node/membership/measure.js [nodes...]`.
 */
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';
import {monotonicNowMs, setMonotonicSource, wallNowMs} from '../clock/clock.js';
import {createCredentials, CredentialVerifier} from '../rpc/authentication.js';
import {RpcClient, RpcRouter} from '../rpc/rpc.js';
import {toErrorBody, toGatewayError} from '../types/errors.js';
import {
  asId,
  type InstanceId,
  type RankId,
  type UpstreamId,
} from '../types/ids.js';
import {
  publishInFlight,
  publishLoadReport,
  publishOwnSummary,
} from './commands.js';
import {createMembership, type Membership} from './membership.js';
import type {PeerAddress} from './summaries.js';

/**
 * Size of the HTTP headers of one call as undici and `node:http` write them,
 * including credentials, without TCP and IP headers. Counted on a loopback
 * socket.
 */
const REQUEST_HEADER_BYTES = 272;
const ANSWER_HEADER_BYTES = 174;
const SECRET = 'secret of the measurement';
const RPC_PATH = '/inner/rpc';

const WARM_UP_MS = 30_000;
const MEASURE_MS = 12_000;
/**
 * Clocks start at one week, so that times have as many digits as in production.
 */
const UPTIME_MS = 604_800_000;
const WORK_INTERVAL_MS = 1_000;
const MODELS = 14;
const RANK_IDS = ['urgent', 'deferred'].map(id => asId<RankId>(id));
const UPSTREAMS_PER_NODE = 600 / 360;
const IN_FLIGHT_PER_UPSTREAM = 8;

/**
 * Number of nodes that one process can run in real time. With more nodes all
 * timers and the clock are slowed down, and figures are per second of the
 * slowed clock.
 */
const NODES_IN_REAL_TIME = 96;

function slowDownClocks(nodes: number): {restore: () => void} {
  const factor = Math.max(1, nodes / NODES_IN_REAL_TIME);
  const {setTimeout: realTimeout, setInterval: realInterval} = globalThis;
  globalThis.setTimeout = ((run: () => void, ms: number) =>
    realTimeout(run, ms * factor)) as typeof setTimeout;
  globalThis.setInterval = ((run: () => void, ms: number) =>
    realInterval(run, ms * factor)) as typeof setInterval;
  const startMs = wallNowMs();
  const clock = setMonotonicSource(
    () => UPTIME_MS + (wallNowMs() - startMs) / factor,
  );
  return {
    restore: () => {
      clock.restore();
      globalThis.setTimeout = realTimeout;
      globalThis.setInterval = realInterval;
    },
  };
}

/** The number of domains that a deployment of this size has. */
function domainCount(nodes: number): number {
  if (nodes <= 32) return 3;
  return nodes <= 96 ? 7 : 14;
}

function sleep(ms: number): Promise<void> {
  return new Promise(resolve => {
    setTimeout(resolve, ms);
  });
}

interface Traffic {
  bytes: number;
  calls: number;
}

/** Connects all nodes in this process and counts bytes by node. */
class CountingNetwork {
  readonly routers = new Map<string, RpcRouter>();
  readonly verifiers = new Map<string, CredentialVerifier>();
  readonly traffic = new Map<string, Traffic>();
  readonly methods = new Map<string, Traffic>();

  count(key: string, address: string, bytes: number): void {
    [
      {totals: this.traffic, name: address},
      {totals: this.methods, name: key},
    ].forEach(({totals, name}) => {
      const known = totals.get(name) ?? {bytes: 0, calls: 0};
      totals.set(name, {bytes: known.bytes + bytes, calls: known.calls + 1});
    });
  }

  clear(): void {
    this.traffic.clear();
    this.methods.clear();
  }
}

class CountingClient extends RpcClient {
  private lastId = 0;

  constructor(
    private readonly network: CountingNetwork,
    private readonly peer: PeerAddress,
  ) {
    super();
  }

  override close(): Promise<void> {
    return Promise.resolve();
  }

  protected override async send(
    address: string,
    method: string,
    params: unknown,
  ): Promise<unknown> {
    const {network, peer} = this;
    const id = ++this.lastId;
    const body = JSON.stringify({jsonrpc: '2.0', id, method, params});
    const bytes = Buffer.from(body);
    const header = createCredentials(SECRET, peer.instanceId, RPC_PATH, bytes);
    const router = network.routers.get(address);
    const verifier = network.verifiers.get(address);
    if (router === undefined) throw new Error(`no node at ${address}`);
    const sender = verifier?.verify(header, RPC_PATH, bytes);
    if (sender === undefined) throw new Error('call credentials were refused');
    const request = JSON.parse(body) as {params: unknown};
    const answer = await router
      .dispatch(method, request.params, {sender})
      .then(result => ({jsonrpc: '2.0', id, result}))
      .catch((thrown: unknown) => ({
        jsonrpc: '2.0',
        id,
        error: toErrorBody(toGatewayError(thrown, method, address)),
      }));
    const text = JSON.stringify(answer);
    const total =
      REQUEST_HEADER_BYTES +
      bytes.length +
      ANSWER_HEADER_BYTES +
      Buffer.byteLength(text);
    network.count(method, address, total);
    network.count(method, peer.innerAddress, total);
    return (JSON.parse(text) as {result: unknown}).result;
  }
}

interface RunningNode {
  readonly peer: PeerAddress;
  readonly membership: Membership;
}

function peerList(nodes: number): PeerAddress[] {
  const domains = domainCount(nodes);
  return Array.from({length: nodes}, (_, index) => ({
    instanceId: asId<InstanceId>(
      `entry-${index % domains}-${String(Math.floor(index / domains)).padStart(2, '0')}`,
    ),
    domainId: asId(`domain-${index % domains}`),
    innerAddress: `10.${index % domains}.0.${Math.floor(index / domains)}:9000`,
  }));
}

function upstreamsOf(peer: PeerAddress, nodes: number): UpstreamId[] {
  const count = Math.round((nodes * UPSTREAMS_PER_NODE) / domainCount(nodes));
  return Array.from({length: count}, (_, index) =>
    asId<UpstreamId>(`worker-${peer.domainId}-${index}`),
  );
}

function randomInteger(below: number): number {
  return Math.floor(Math.random() * below);
}

/** Publishes what an entry instance publishes once a second. */
function publishSampleData(
  {peer, membership}: RunningNode,
  nodes: number,
): void {
  const upstreams = upstreamsOf(peer, nodes);
  membership.view.polledUpstreams(upstreams).forEach(upstreamId =>
    publishLoadReport(membership, {
      upstreamId,
      takenAtMs: monotonicNowMs(),
      running: randomInteger(200),
      queued: randomInteger(20),
      loadedModels: [asId('model-chat'), asId('model-caption')],
      leaving: false,
      cacheEventGap: false,
    }),
  );
  publishInFlight(
    membership,
    new Map(
      upstreams.map(
        id => [id, randomInteger(2 * IN_FLIGHT_PER_UPSTREAM)] as const,
      ),
    ),
  );
  if (!membership.view.buildsSummary()) return;
  publishOwnSummary(
    membership,
    Array.from({length: MODELS}, (_, index) => ({
      modelId: asId(`model-${index}`),
      freeSlots: randomInteger(400),
      queueWaitMs: randomInteger(2_000),
      priceMicros: 1_000 + index,
      rankWaits: RANK_IDS.map(rankId => ({
        rankId,
        backlogMs: randomInteger(2_000),
      })),
    })),
  );
}

function startNodes(network: CountingNetwork, nodes: number): RunningNode[] {
  const peers = peerList(nodes);
  return peers.map(peer => {
    const router = new RpcRouter();
    network.routers.set(peer.innerAddress, router);
    network.verifiers.set(peer.innerAddress, new CredentialVerifier(SECRET));
    const membership = createMembership({
      ...peer,
      regionId: asId(`region-${peer.domainId}`),
      callerAddress: peer.innerAddress.replace('9000', '8000'),
      rpcClient: new CountingClient(network, peer),
      rpcRouter: router,
      peers: () => peers,
    });
    return {peer, membership};
  });
}

function heapBytes(): number {
  setFlagsFromString('--expose-gc');
  (runInNewContext('gc') as () => void)();
  return process.memoryUsage().heapUsed;
}

/**
 * Report ages, summary ages and false suspicions, which show whether the gossip
 * keeps up.
 */
function gossipQuality(running: readonly RunningNode[]): object {
  const views = running.map(({membership}) => membership.view);
  const ages = views.flatMap(view =>
    [...view.loadReports().values()].map(
      report => monotonicNowMs() - report.takenAtMs,
    ),
  );
  const members = views.flatMap(view => view.members());
  const summaryAges = views.flatMap(view =>
    view.domainSummaries().map(summary => summary.ageMs),
  );
  const mean = (values: readonly number[]): number =>
    Math.round(values.reduce((a, b) => a + b, 0) / Math.max(1, values.length));
  return {
    meanReportAgeMs: mean(ages),
    maxReportAgeMs: Math.round(Math.max(0, ...ages)),
    meanSummaryAgeMs: mean(summaryAges),
    maxSummaryAgeMs: Math.round(Math.max(0, ...summaryAges)),
    suspects: members.filter(member => member.liveness === 'suspect').length,
    dead: members.filter(member => member.liveness === 'dead').length,
  };
}

/** Calls per second and node, sent and received, by method. */
function callsByMethod(
  network: CountingNetwork,
  nodeSeconds: number,
): Record<string, number> {
  return Object.fromEntries(
    [...network.methods].map(([method, {calls}]) => [
      method,
      Math.round((100 * calls) / nodeSeconds) / 100,
    ]),
  );
}

/** Runs one deployment and returns its figures. */
async function measure(nodes: number): Promise<object> {
  const clocks = slowDownClocks(nodes);
  const heapBefore = heapBytes();
  const network = new CountingNetwork();
  const running = startNodes(network, nodes);
  const timers = running.map(node =>
    setInterval(() => publishSampleData(node, nodes), WORK_INTERVAL_MS),
  );
  await sleep(WARM_UP_MS);
  network.clear();
  const cpuBefore = process.cpuUsage();
  const startMs = monotonicNowMs();
  await sleep(MEASURE_MS);
  const seconds = (monotonicNowMs() - startMs) / 1000;
  const cpu = process.cpuUsage(cpuBefore);
  const perNode = [...network.traffic.values()].map(
    traffic => traffic.bytes / seconds,
  );
  const methods = [...network.methods].map(([method, traffic]) => [
    method,
    Math.round(traffic.bytes / seconds / nodes),
  ]);
  const figures = {
    nodes,
    domains: domainCount(nodes),
    seconds: Math.round(seconds),
    bytesPerSecondMean: Math.round(perNode.reduce((a, b) => a + b, 0) / nodes),
    bytesPerSecondMax: Math.round(Math.max(...perNode)),
    bytesPerSecondByMethod: Object.fromEntries(methods) as object,
    callsPerSecondByMethod: callsByMethod(network, seconds * nodes),
    cpuShare: (cpu.user + cpu.system) / 1e6 / seconds / nodes,
    heapBytesPerNode: Math.round((heapBytes() - heapBefore) / nodes),
    ...gossipQuality(running),
  };
  timers.forEach(timer => clearInterval(timer));
  await Promise.all(running.map(({membership}) => membership.stop()));
  clocks.restore();
  return figures;
}

const sizes = process.argv.slice(2).map(Number);
for (const nodes of sizes.length > 0 ? sizes : [8, 32, 96, 360]) {
  console.log(JSON.stringify(await measure(nodes)));
}
