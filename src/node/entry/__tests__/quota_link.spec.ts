import assert from 'node:assert/strict';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {test, type TestContext} from 'node:test';
import {ok} from 'neverthrow';
import {pino} from 'pino';
import {advanceClock} from '../../__tests__/support/advance_clock.js';
import {pauseClock} from '../../__tests__/support/clock.js';
import {MemoryNetwork} from '../../__tests__/support/memory_network.js';
import {playgroundAnswers} from '../../config/__tests__/playground.js';
import type {Configuration, QuotaConfig} from '../../config/configuration.js';
import {generate} from '../../config/generate.js';
import {QuotaService} from '../../control/quota_service.js';
import {MetricsRegistry} from '../../metrics/registry.js';
import {runCli} from '../../operator/cli.js';
import type {LeadershipLog} from '../../quotas/leadership_check.js';
import {QuotaGate} from '../../quotas/quota_gate.js';
import {RpcRouter, type RpcClient} from '../../rpc/rpc.js';
import {
  asId,
  type DomainId,
  type InstanceId,
  type RegionId,
} from '../../types/ids.js';
import {specOf} from '../../workspaces/configured_workspace.js';
import {QuotaLink} from '../quota_link.js';

const CONFIGURATION = generate(playgroundAnswers('trazo'));
const [LIMITED] = CONFIGURATION.workspaces;
const QUOTA: QuotaConfig = {
  unit: 'requests',
  ratePerS: 10,
  burst: 10,
  plainTokens: 0,
};

function withQuota(quota: QuotaConfig): Configuration {
  const [first, ...others] = CONFIGURATION.workspaces;
  const workspaces = first === undefined ? [] : [{...first, quota}, ...others];
  return {...CONFIGURATION, workspaces};
}

/** The control members of a deployment, the first of which leads, and one entry. */
function createDeployment(t: TestContext) {
  pauseClock(t);
  const network = new MemoryNetwork({delayMs: 1});
  const listeners = new Set<() => void>();
  const calls = {barriers: 0, exchanges: 0};
  let configuration = CONFIGURATION;
  const machine = {
    configurationInForce: () => configuration,
    subscribe: (listener: () => void) => {
      listeners.add(listener);
      return () => listeners.delete(listener);
    },
  };
  CONFIGURATION.controlMembers.forEach(({instanceId, innerAddress}, index) => {
    const router = new RpcRouter();
    network.attach(innerAddress, instanceId, router);
    const log = {
      status: () => ({role: index === 0 ? 'leader' : 'follower', term: 1}),
      readBarrier: () => {
        calls.barriers += 1;
        return Promise.resolve(ok(undefined));
      },
    } as unknown as LeadershipLog;
    const service = new QuotaService({log, machine, router});
    t.after(() => service.stop());
  });
  const direct = network.attach('entry:1', 'entry', new RpcRouter());
  const client = {
    call: (...args: Parameters<RpcClient['call']>) => {
      calls.exchanges += 1;
      return direct.call(...args);
    },
  } as unknown as RpcClient;
  const gate: QuotaGate = new QuotaGate({
    entries: () => CONFIGURATION.instances.length,
    announceNow: (control: InstanceId | undefined) => link.askNow(control),
    logger: pino({enabled: false}),
    metrics: new MetricsRegistry(),
  });
  const link = new QuotaLink({
    identity: {
      instanceId: asId<InstanceId>('entry-1'),
      domainId: asId<DomainId>('centro-a'),
      regionId: asId<RegionId>('centro'),
    },
    incarnation: 1,
    client,
    gate,
    configuration: () => configuration,
  });
  link.start();
  t.after(() => link.stop());
  const apply = (next: Configuration): void => {
    configuration = next;
    listeners.forEach(listener => listener());
    gate.applyWorkspaces(next.workspaces.map(specOf));
  };
  return {network, gate, calls, apply};
}

async function showQuotas(
  t: TestContext,
  network: MemoryNetwork,
): Promise<readonly string[]> {
  const folder = mkdtempSync(join(tmpdir(), 'quota-link-'));
  t.after(() => rmSync(folder, {recursive: true}));
  const settings = join(folder, 'operator.yaml');
  const controlAddresses = CONFIGURATION.controlMembers.map(
    ({innerAddress}) => innerAddress,
  );
  const secrets = {
    operatorKey: 'a-key',
    clusterSecret: 'a secret of the specs',
  };
  writeFileSync(
    settings,
    JSON.stringify({operator: 'lucia', ...secrets, controlAddresses}),
  );
  const out: string[] = [];
  const shown = runCli(['quotas', LIMITED?.workspaceId ?? ''], {
    out: line => out.push(line),
    err: line => out.push(line),
    env: {CYCLAMENFALL_SETTINGS: settings},
    createRpc: () => network.attach('operator:1', 'operator', new RpcRouter()),
  });
  await advanceClock(t, 100);
  await shown;
  return out;
}

// Guards against calls and quorum reads in deployments that set no quota.
test('without quotas nothing is exchanged', async t => {
  const {calls, apply} = createDeployment(t);
  await advanceClock(t, 3_000, 10);
  assert.deepEqual(calls, {barriers: 0, exchanges: 0});
  apply(withQuota(QUOTA));
  await advanceClock(t, 3_000, 10);
  assert.ok(calls.barriers > 0 && calls.exchanges > 0);
  apply(CONFIGURATION);
  const before = {...calls};
  await advanceClock(t, 3_000, 10);
  assert.deepEqual(calls, before);
});

// Guards against members that do not lead and are asked as often as the one that does.
test('members that do not lead are asked seldom', async t => {
  const {calls, apply} = createDeployment(t);
  apply(withQuota(QUOTA));
  await advanceClock(t, 3_000, 10);
  const before = calls.exchanges;
  await advanceClock(t, 8_000, 10);
  const followers = CONFIGURATION.controlMembers.length - 1;
  assert.equal(calls.exchanges - before, 20 + 4 * followers);
});

// Guards against a command that does not know quotas of the configuration.
test('quotas shows a workspace that the configuration limits', async t => {
  const {gate, network, apply} = createDeployment(t);
  const limited = withQuota(QUOTA);
  apply(limited);
  await advanceClock(t, 13_000, 10);
  const [workspace] = limited.workspaces;
  assert.ok(workspace);
  const kinds: string[] = [];
  const timer = setInterval(() => {
    void gate
      .admit(specOf(workspace), undefined, 1_000)
      .then(({kind}) => kinds.push(kind));
  }, 20);
  await advanceClock(t, 4_000, 10);
  clearInterval(timer);
  const admitted = kinds.filter(kind => kind === 'admitted').length;
  assert.ok(admitted >= 45 && admitted <= 65, `${admitted} admitted`);
  const [, row = ''] = await showQuotas(t, network);
  const cells = row.split(/\s{2,}/);
  assert.deepEqual(
    [cells[0], cells[1], cells[2], cells[5], cells[9]],
    [workspace.workspaceId, 'centro', 'requests', '10', 'rate'],
  );
});
