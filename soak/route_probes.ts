/**
 * Asks entries which configuration they obey: each version adds a route of its
 * own. The body is larger than the limit, so that no upstream runs a probe: a
 * route that exists answers 413, others 404.
 */
import {request} from 'undici';
import {MAX_BODY_BYTES, pathOfVersion} from './operator.js';
import {HOST} from './traffic.js';

const INTERVAL_MS = 400;
const PROBE_TIMEOUT_MS = 1_000;

/** The answer of an entry to one probe. */
export interface RouteProbe {
  readonly entry: string;
  readonly version: number;
  readonly sentAtMs: number;
  /** 0 without an answer. */
  readonly status: number;
}

/** Probes all entries for the routes of the versions that are asked for. */
export class RouteProbes {
  readonly probes: RouteProbe[] = [];
  private timer: NodeJS.Timeout | undefined;

  constructor(
    private readonly entries: readonly string[],
    private readonly versions: () => readonly number[],
  ) {}

  start(): void {
    this.timer = setInterval(() => void this.probeAll(), INTERVAL_MS);
  }

  stop(): void {
    clearInterval(this.timer);
  }

  private async probeAll(): Promise<void> {
    await Promise.all(
      this.entries.flatMap(entry =>
        this.versions().map(version => this.probe(entry, version)),
      ),
    );
  }

  private async probe(entry: string, version: number): Promise<void> {
    const sentAtMs = performance.now();
    const status = await statusOf(`http://${entry}${pathOfVersion(version)}`);
    this.probes.push({entry, version, sentAtMs, status});
  }
}

async function statusOf(url: string): Promise<number> {
  try {
    const answer = await request(url, {
      method: 'POST',
      headers: {host: HOST},
      body: Buffer.alloc(MAX_BODY_BYTES + 1),
      signal: AbortSignal.timeout(PROBE_TIMEOUT_MS),
    });
    await answer.body.dump();
    return answer.statusCode;
  } catch {
    // An entry that does not answer obeys no version.
    return 0;
  }
}
