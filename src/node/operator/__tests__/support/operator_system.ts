/** A deployment in memory that the command line is run against. */
import {createHash} from 'node:crypto';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import type {TestContext} from 'node:test';
import {advanceClock} from '../../../__tests__/support/advance_clock.js';
import {pauseClock} from '../../../__tests__/support/clock.js';
import {MemoryNetwork} from '../../../__tests__/support/memory_network.js';
import {
  playgroundAnswers,
  playgroundText,
} from '../../../config/__tests__/playground.js';
import {generate} from '../../../config/generate.js';
import {FakeGroup} from '../../../control/__tests__/fake_log.js';
import {ControlService} from '../../../control/control_service.js';
import {RpcRouter} from '../../../rpc/rpc.js';
import {runCli} from '../../cli.js';
import {
  entryDrainParamsSchema,
  entryQueryParamsSchema,
  type EntryStatus,
} from '../../entry_methods.js';

const CONFIGURATION = generate(playgroundAnswers('trazo'));
const INITIAL_OPERATOR = {
  name: 'lucia',
  keyDigest: createHash('sha256').update('trazo-lucia-key').digest('hex'),
};

/** How one run of the command line ended. */
export interface Run {
  readonly exitCode: number;
  readonly out: readonly string[];
  readonly err: readonly string[];
}

export interface System {
  readonly folder: string;
  readonly network: MemoryNetwork;
  readonly group: FakeGroup;
  /** Version in force by instance; others have the accepted one. */
  readonly behind: Map<string, number>;
  readonly run: (...words: string[]) => Promise<Run>;
}

function startEntries(
  system: Pick<System, 'network' | 'group' | 'behind'>,
): void {
  const {network, group, behind} = system;
  const version = (): number => group.logs[0]?.machine.version() ?? 0;
  CONFIGURATION.instances.forEach(
    ({instanceId, domainId, regionId, ...rest}) => {
      const router = new RpcRouter();
      router.register('entry.status', entryQueryParamsSchema, () => ({
        instanceId,
        domainId,
        regionId,
        state: 'ready' satisfies EntryStatus['state'],
        configVersion: behind.get(instanceId) ?? version(),
        uptimeMs: 1_000,
        inFlightCount: 2,
        queuedCount: 0,
        links: [{domainId: 'cuyo-a', state: 'down'}],
      }));
      router.register('entry.upstreams', entryQueryParamsSchema, () => ({
        upstreams: CONFIGURATION.upstreams
          .filter(upstream => upstream.domainId === domainId)
          .map(({upstreamId, slotCount}) => ({
            upstreamId,
            domainId,
            state: 'in_service',
            inFlightCount: 1,
            slotCount,
            loadedModelIds: ['chat'],
          })),
      }));
      let inFlightCount = 2;
      router.register('entry.drain', entryDrainParamsSchema, () => {
        inFlightCount -= 1;
        const state = inFlightCount === 0 ? 'left' : 'leaving';
        return {instanceId, state, inFlightCount};
      });
      router.register('entry.measures', entryQueryParamsSchema, () => ({
        instanceId,
        domainId,
        regionId,
        counters: [
          {
            name: 'refused_total',
            labels: {rank: 'deferred', cause: 'late'},
            value: 3,
          },
          {
            name: 'forwarded_total',
            labels: {rank: 'urgent', domain: 'cuyo-a'},
            value: 1,
          },
          {name: 'cost_micros_total', labels: {rank: 'urgent'}, value: 500.4},
        ],
        gauges: [],
        histograms: [
          {
            name: 'first_token_ms',
            labels: {rank: 'urgent'},
            count: 10,
            mean: 200,
            p50: 180,
            p95: 300 + rest.innerAddress.length,
            p99: 400,
            max: 450,
          },
        ],
      }));
      network.attach(rest.innerAddress, instanceId, router);
    },
  );
}

export function createSystem(t: TestContext): System {
  pauseClock(t);
  const folder = mkdtempSync(join(tmpdir(), 'operator-'));
  t.after(() => rmSync(folder, {recursive: true}));
  const network = new MemoryNetwork({delayMs: 1});
  const group = new FakeGroup();
  CONFIGURATION.controlMembers.forEach(({instanceId, innerAddress}) => {
    const router = new RpcRouter();
    const log = group.add(instanceId, innerAddress);
    const service = new ControlService({
      instanceId,
      selfAddress: innerAddress,
      log,
      machine: log.machine,
      rpc: network.attach(innerAddress, instanceId, router),
      router,
      initialOperator: INITIAL_OPERATOR,
    });
    t.after(() => service.stop());
  });
  const behind = new Map<string, number>();
  startEntries({network, group, behind});
  writeFileSync(join(folder, 'answers.yaml'), playgroundText('trazo'));
  const settings = join(folder, 'operator.yaml');
  writeFileSync(
    settings,
    JSON.stringify({
      operator: 'lucia',
      operatorKey: 'trazo-lucia-key',
      clusterSecret: 'a secret of the cluster',
      controlAddresses: CONFIGURATION.controlMembers.map(
        ({innerAddress}) => innerAddress,
      ),
    }),
  );
  const run = async (...words: string[]): Promise<Run> => {
    const out: string[] = [];
    const err: string[] = [];
    let exitCode: number | undefined;
    const clean = (line: string): string => line.replaceAll(folder, '<folder>');
    const running = runCli(words, {
      out: line => out.push(clean(line)),
      err: line => err.push(clean(line)),
      env: {CYCLAMENFALL_SETTINGS: settings},
      createRpc: () =>
        network.attach('operator:1', 'operator', new RpcRouter()),
    }).then(code => (exitCode = code));
    while (exitCode === undefined) await advanceClock(t, 100, 10);
    await running;
    return {exitCode, out, err};
  };
  return {folder, network, group, behind, run};
}

export function identity(baseVersion: number, operationId: string): string[] {
  return ['--base-version', `${baseVersion}`, '--operation-id', operationId];
}
