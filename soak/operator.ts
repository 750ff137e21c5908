/** The operator of one run: changes, evacuations and readings. */
import {request} from 'undici';
import {
  EVACUATE_PREFIX,
  READ_PATH,
  REPLACE_PATH,
  RETURN_PREFIX,
} from '../platform/operator_paths.js';
import {
  configurationText,
  type StandInWorkspace,
} from '../platform/standin/configuration.js';
import {HOMES, ROUTES, type OperatorRecord} from './history.js';
import {SERVICE} from './layout.js';
import {VERSION_STEP} from './workspaces.js';
import {HOST, pick, TIMEOUT_MS} from './traffic.js';

const CALL_TIMEOUT_MS = 1_000;
const CHANGE_INTERVAL_MS = 1_200;
const READ_INTERVAL_MS = 700;

export const MAX_BODY_BYTES = 100_000;

/** Path of the route that only one version has. */
export function pathOfVersion(version: number): string {
  return `/added-${version}/`;
}

/** The configuration of a version; callers need no keys if there are no workspaces. */
export function configurationOf(
  version: number,
  workspaces?: readonly StandInWorkspace[],
): string {
  return configurationText({
    version,
    host: HOST,
    service: SERVICE,
    timeoutMs: TIMEOUT_MS,
    maxBodyBytes: MAX_BODY_BYTES,
    routes: [
      ...Object.entries(ROUTES).map(([name, route]) => ({
        ...route,
        name,
        homeRegions: name === 'homed' ? HOMES : [],
      })),
      {
        name: `added-${version}`,
        path: pathOfVersion(version),
        kind: 'safe',
        attempts: 1,
        // Probes show no key.
        ...(workspaces === undefined ? {} : {public: true}),
      },
    ],
    ...(workspaces === undefined ? {} : {tenants: workspaces}),
  });
}

/** Calls the control members, each time another one. */
export class Operator {
  readonly records: OperatorRecord[] = [];
  private version = 1;
  private timers: readonly NodeJS.Timeout[] = [];

  constructor(
    private readonly addresses: readonly string[],
    private readonly random: () => number,
    private readonly workspacesOf: (
      version: number,
    ) => readonly StandInWorkspace[] | undefined = () => undefined,
  ) {}

  /** The newest version that was sent. */
  get newestVersion(): number {
    return this.version;
  }

  /** Sends changes and readings at intervals until it is stopped. */
  start(): void {
    this.timers = [
      setInterval(() => void this.replace(), CHANGE_INTERVAL_MS),
      setInterval(() => void this.read(), READ_INTERVAL_MS),
    ];
  }

  /** Sends no more changes; readings go on. */
  pauseChanges(): void {
    clearInterval(this.timers[0]);
  }

  stop(): void {
    this.timers.forEach(timer => clearInterval(timer));
  }

  /** Versions that were confirmed, the newest one last. */
  get confirmedVersions(): readonly number[] {
    return this.records
      .filter(each => each.kind === 'replace' && each.status === 200)
      .map(each => each.version);
  }

  /** Sends the next version to one member. */
  async replace(): Promise<boolean> {
    this.version += VERSION_STEP;
    const {version} = this;
    const text = configurationOf(version, this.workspacesOf(version));
    return this.send('replace', REPLACE_PATH, version, text);
  }

  async read(): Promise<boolean> {
    const sentAtMs = performance.now();
    const {status, body} = await this.call('GET', READ_PATH);
    const {version} = parsedOrEmpty(body);
    this.note('read', sentAtMs, status, version ?? 0, body);
    return status === 200;
  }

  /** Sends the order to one member, any if no address is given. */
  evacuate(domain: string, address?: string): Promise<boolean> {
    const path = `${EVACUATE_PREFIX}${domain}`;
    return this.send('evacuate', path, 0, domain, address);
  }

  takeBack(domain: string, address?: string): Promise<boolean> {
    const path = `${RETURN_PREFIX}${domain}`;
    return this.send('return', path, 0, domain, address);
  }

  private async send(
    kind: OperatorRecord['kind'],
    path: string,
    version: number,
    text: string,
    address?: string,
  ): Promise<boolean> {
    const sentAtMs = performance.now();
    const body = kind === 'replace' ? text : undefined;
    const {status} = await this.call('POST', path, body, address);
    this.note(kind, sentAtMs, status, version, text);
    return status === 200;
  }

  private note(
    kind: OperatorRecord['kind'],
    sentAtMs: number,
    status: number,
    version: number,
    text: string,
  ): void {
    const endedAtMs = performance.now();
    this.records.push({kind, sentAtMs, endedAtMs, status, version, text});
  }

  private async call(
    method: 'GET' | 'POST',
    path: string,
    body?: string,
    address = pick(this.addresses, this.random) ?? '',
  ): Promise<{status: number; body: string}> {
    try {
      const answer = await request(`http://${address}${path}`, {
        method,
        ...(body === undefined ? {} : {body}),
        signal: AbortSignal.timeout(CALL_TIMEOUT_MS),
      });
      return {status: answer.statusCode, body: await answer.body.text()};
    } catch {
      // A call without an answer promises nothing; the record says 0.
      return {status: 0, body: ''};
    }
  }
}

function parsedOrEmpty(text: string): {readonly version?: number} {
  try {
    return JSON.parse(text) as {version?: number};
  } catch {
    // An answer of another kind has no version.
    return {};
  }
}
