/** A deployment of measured processes with an accepted configuration. */
import {randomUUID} from 'node:crypto';
import {mkdtemp, rm} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {request} from 'undici';
import {HttpRpcClient} from '../rpc/http_client.js';
import {asId} from '../types/ids.js';
import {
  CLUSTER_SECRET,
  type Deployment,
  type DeploymentOptions,
  OPERATOR,
  writeDeployment,
} from './deployment.js';
import {MeasuredProcess, sleep} from './processes.js';

const READY_TIMEOUT_MS = 20_000;
const POLL_MS = 25;
const CALL_TIMEOUT_MS = 10_000;

const DEFAULTS: Omit<DeploymentOptions, 'firstPort'> = {
  entries: 1,
  controls: 1,
  engines: 1,
  workspaces: 42,
  slots: 256,
  prefillMs: 2,
  decodeMs: 2,
};

/** Ports of one deployment; all lie below those that systems give out. */
const PORTS_PER_DEPLOYMENT = 200;

let nextPort = 20_000;

/** Polls until `condition` holds. */
export async function until(
  what: string,
  condition: () => Promise<boolean>,
): Promise<void> {
  const endMs = performance.now() + READY_TIMEOUT_MS;
  while (!(await condition())) {
    if (performance.now() > endMs) throw new Error(`timed out: ${what}`);
    await sleep(POLL_MS);
  }
}

/** The processes of one deployment. */
export class RunningDeployment {
  version = 0;
  private readonly rpc = new HttpRpcClient({
    self: asId('measurement'),
    clusterSecret: CLUSTER_SECRET,
  });

  private constructor(
    private readonly folder: string,
    readonly files: Deployment,
    readonly entries: readonly MeasuredProcess[],
    readonly controls: readonly MeasuredProcess[],
    private readonly standin: MeasuredProcess,
  ) {}

  /** Starts all processes and waits until the entries serve. */
  static async start(
    options: Partial<DeploymentOptions>,
  ): Promise<RunningDeployment> {
    const folder = await mkdtemp(join(tmpdir(), 'cyclamenfall-slopes-'));
    const firstPort = nextPort;
    nextPort += PORTS_PER_DEPLOYMENT;
    const files = writeDeployment(folder, {...DEFAULTS, firstPort, ...options});
    const start = ({kind, file}: {kind: string; file: string}) =>
      new MeasuredProcess(kind, file);
    const deployment = new RunningDeployment(
      folder,
      files,
      files.entries.map(start),
      files.controls.map(start),
      start(files.standin),
    );
    try {
      await deployment.change();
      await deployment.inForce();
    } catch (thrown) {
      await deployment.stop();
      throw thrown;
    }
    return deployment;
  }

  /** Accepts the answers as the next version. */
  async change(answers: unknown = this.files.answers): Promise<void> {
    const operationId = randomUUID();
    await until('a control leader', async () => {
      const accepted = await this.rpc.call<{
        readonly status: string;
        readonly version: number;
      }>(
        this.files.controlAddresses[0] ?? '',
        'config.accept',
        {
          operator: OPERATOR.name,
          operatorKey: OPERATOR.key,
          operationId,
          baseVersion: this.version,
          answers,
          forwarded: false,
        },
        CALL_TIMEOUT_MS,
      );
      if (accepted.isErr()) return false;
      if (accepted.value.status !== 'accepted') {
        throw new Error(JSON.stringify(accepted.value));
      }
      this.version = accepted.value.version;
      return true;
    });
  }

  /** Waits until every entry reports the last accepted version. */
  async inForce(): Promise<void> {
    await Promise.all(
      this.files.entries.map(({callerAddress}) =>
        until(`version ${this.version} at ${callerAddress}`, () =>
          this.hasVersion(callerAddress),
        ),
      ),
    );
  }

  async stop(): Promise<void> {
    await this.rpc.close();
    const all = [...this.entries, ...this.controls, this.standin];
    await Promise.all(all.map(each => each.stop()));
    await rm(this.folder, {recursive: true, force: true});
  }

  private async hasVersion(callerAddress: string): Promise<boolean> {
    try {
      const {body} = await request(`http://${callerAddress}/metrics`);
      const text = await body.text();
      const found = /^config_version (\d+)$/m.exec(text);
      return Number(found?.[1] ?? 0) >= this.version;
    } catch {
      return false;
    }
  }
}

/** Runs `work` with a deployment and stops it afterwards. */
export async function withDeployment<Result>(
  options: Partial<DeploymentOptions>,
  work: (deployment: RunningDeployment) => Promise<Result>,
): Promise<Result> {
  const deployment = await RunningDeployment.start(options);
  try {
    return await work(deployment);
  } finally {
    await deployment.stop();
  }
}
