/**
 * Tells a crashed upstream from one that only lost connections: the loss of a
 * connection opens a suspicion, which a refused probe or the end of the process
 * confirms and an answered probe dismisses.
 */
import type {UpstreamId} from '../types/ids.js';
import type {ListedUpstream, WorkItem} from './types.js';
import {processIdOf} from './upstream_process.js';

/** A request that ran on an upstream. */
export interface RunningRequest {
  readonly item: WorkItem;
  readonly startedAtMs: number;
}

/** The end of one process of an upstream, with the requests on it. */
export interface UpstreamCrash {
  /** Unique for the process: its upstream may start again under the same id. */
  readonly crashId: string;
  readonly upstreamId: UpstreamId;
  /** When the first sign of it was noticed. */
  readonly atMs: number;
  readonly running: readonly RunningRequest[];
}

/** An upstream as its pool knows it. */
export interface LostUpstream {
  readonly listed: ListedUpstream;
  readonly isDraining: boolean;
  readonly runningRequests: readonly RunningRequest[];
}

/** The lost upstreams of one pool whose crash is not confirmed yet. */
export class CrashWatch {
  private readonly suspected = new Map<UpstreamId, UpstreamCrash>();

  constructor(private readonly onCrash: (crash: UpstreamCrash) => void) {}

  /** Records a lost upstream; one that drains is expected to end. */
  noteLost(
    {listed, isDraining, runningRequests: running}: LostUpstream,
    nowMs: number,
  ): void {
    const {upstreamId} = listed;
    if (isDraining || running.length === 0) return;
    this.suspected.set(upstreamId, {
      crashId: processIdOf(listed),
      upstreamId,
      atMs: nowMs,
      running,
    });
  }

  /** Records that the process of a lost upstream has ended. */
  confirm(upstreamId: UpstreamId): void {
    const crash = this.suspected.get(upstreamId);
    if (crash === undefined) return;
    this.suspected.delete(upstreamId);
    this.onCrash(crash);
  }

  /** Records that a lost upstream still runs. */
  dismiss(upstreamId: UpstreamId): void {
    this.suspected.delete(upstreamId);
  }
}
