import assert from 'node:assert/strict';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {test} from 'node:test';
import {z} from 'zod';
import {MemoryNetwork} from '../../__tests__/support/memory_network.js';
import {QUOTA_STATUS_METHOD} from '../../quotas/status_method.js';
import type {QuotaStatus} from '../../quotas/workspace_use.js';
import {RpcRouter} from '../../rpc/rpc.js';
import {asId, type RegionId, type WorkspaceId} from '../../types/ids.js';
import {runCli} from '../cli.js';

const NOW_MS = Date.UTC(2026, 11, 6, 12, 0, 10);
const REGION = {region: asId<RegionId>('north'), entries: 3};
const STATUS: QuotaStatus = {
  isLeader: true,
  workspaces: [
    {
      workspace: asId<WorkspaceId>('limited'),
      unit: 'tokens',
      ratePerS: 1_000,
      poolUnits: 0,
      regions: [
        {
          ...REGION,
          demandPerS: 4_000,
          sharePerS: 950,
          limitedEntries: 2,
          limitedForMs: 3_400,
        },
      ],
    },
    {
      workspace: asId<WorkspaceId>('apart'),
      unit: 'requests',
      ratePerS: 50,
      poolUnits: 9,
      regions: [
        {
          ...REGION,
          demandPerS: 20,
          sharePerS: 5,
          limitedEntries: 1,
          limitedForMs: 400,
        },
      ],
    },
    {
      workspace: asId<WorkspaceId>('calm'),
      ratePerS: 500,
      poolUnits: 90,
      regions: [{...REGION, demandPerS: 20, sharePerS: 475, limitedEntries: 0}],
    },
  ],
};

// Guards against an operator who cannot tell which workspace is limited, by what and
// since when, or who is answered by a member that does not know.
test('quotas shows who is limited, as the leader tells', async t => {
  t.mock.timers.enable({apis: ['Date'], now: NOW_MS});
  const folder = mkdtempSync(join(tmpdir(), 'cyclamenfall-quotas-'));
  t.after(() => rmSync(folder, {recursive: true}));
  const network = new MemoryNetwork();
  const answers: readonly QuotaStatus[] = [
    {isLeader: false, workspaces: []},
    STATUS,
  ];
  answers.forEach((answer, index) => {
    const router = new RpcRouter();
    router.register(QUOTA_STATUS_METHOD, z.object({}), () => answer);
    network.attach(`10.0.0.${index + 1}:7000`, `c${index}`, router);
  });
  const settings = join(folder, 'operator.yaml');
  writeFileSync(
    settings,
    JSON.stringify({
      operator: 'lucia',
      operatorKey: 'trazo-lucia-key',
      clusterSecret: 'a secret of the cluster',
      controlAddresses: ['10.0.0.1:7000', '10.0.0.2:7000'],
    }),
  );
  const out: string[] = [];
  const exitCode = await runCli(['quotas'], {
    out: line => out.push(line),
    err: line => out.push(line),
    env: {CYCLAMENFALL_SETTINGS: settings},
    createRpc: () => network.attach('operator:1', 'operator', new RpcRouter()),
  });
  assert.equal(exitCode, 0, out.join('\n'));
  assert.deepEqual(
    out.map(line => line.split(/\s{2,}/)),
    [
      ['workspace', 'region', 'unit', 'demand/s', 'share/s', 'limit/s'].concat(
        ['pool', 'entries', 'refusing', 'limited by', 'limited since'],
        'limited for s',
      ),
      [
        'limited',
        'north',
        'tokens',
        '4000',
        '950',
        '1000',
        '0',
        '3',
        '2',
      ].concat(['rate', '2026-12-06 12:00:06Z', '3.4']),
      ['apart', 'north', 'requests', '20', '5', '50', '9', '3', '1'].concat([
        'shares',
        '2026-12-06 12:00:09Z',
        '0.4',
      ]),
      ['calm', 'north', '-', '20', '475', '500', '90', '3', '0'].concat([
        '-',
        '-',
        '-',
      ]),
    ],
  );
});
