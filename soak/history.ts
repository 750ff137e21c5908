/** What callers, upstreams and operators saw during one run. */

import type {RouteProbe} from './route_probes.js';

/** How the response to one call ended. */
export interface CallResult {
  readonly attemptId: string;
  readonly route: RouteName;
  readonly region: string;
  /** Callers' address of the entry that got it. */
  readonly entry: string;
  /** The key that it showed, if any. */
  readonly key?: string;
  readonly sentAtMs: number;
  readonly endedAtMs: number;
  /** 0 if no response arrived. */
  readonly status: number;
  /** Whether the whole response arrived. */
  readonly isComplete: boolean;
  readonly stamp: string | undefined;
  readonly text: string;
  /** Set if it goes on with a stream that broke off. */
  readonly takesUp?: TakeUp;
}

/** What a caller holds of a stream when it takes it up again. */
export interface TakeUp {
  readonly attemptId: string;
  readonly lastEventId: number;
  /** Software versions that wrote the events so far. */
  readonly versions: readonly string[];
}

/** One whole event of a stream. */
export interface SoakEvent {
  readonly id: number;
  readonly version: string;
  /** The request that it belongs to; empty if it names none. */
  readonly attemptId: string;
}

const EVENT_PATTERN =
  /^id: (\d+)\ndata: piece \1(?: of (\S+))?(?: for (\S+))?\n\n/gm;

/** The whole events in the text of a response. */
export function eventsOf(text: string): readonly SoakEvent[] {
  return [...text.matchAll(EVENT_PATTERN)].map(
    ([, id, version = '', attemptId = '']) => ({
      id: Number(id),
      version,
      attemptId,
    }),
  );
}

/** One change that an operator sent, or one reading. */
export interface OperatorRecord {
  readonly kind: 'replace' | 'read' | 'evacuate' | 'return';
  readonly sentAtMs: number;
  readonly endedAtMs: number;
  /** 0 if no response arrived. */
  readonly status: number;
  /** Version sent or read. */
  readonly version: number;
  /** Body sent or read. */
  readonly text: string;
}

/** A run of a request at an upstream. */
export interface UpstreamRun {
  readonly upstreamId: string;
  readonly domain: string;
  readonly attemptId: string;
  readonly startedAtMs: number;
  /** As the upstream got them, with names in lower case. */
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
}

/** What a part of the system wrote down, showed or was sent. */
export interface WrittenText {
  /** A file, the metrics of a process, or requests to an upstream. */
  readonly source: string;
  readonly text: string;
}

/** A request that reached an upstream, whether it ran or not. */
export interface UpstreamArrival {
  readonly attemptId: string;
  readonly arrivedAtMs: number;
}

export interface History {
  readonly probes: readonly RouteProbe[];
  readonly calls: readonly CallResult[];
  readonly runs: readonly UpstreamRun[];
  readonly arrivals: readonly UpstreamArrival[];
  readonly operator: readonly OperatorRecord[];
  /** Ends of processes that nobody asked for. */
  readonly unexpectedExits: readonly string[];
  /** Planned stops that took longer than the settings allow. */
  readonly slowStops: readonly string[];
  /** From then on no fault was in effect. */
  readonly calmAtMs: number;
  /** Whether each request that reached an upstream must be answered whole. */
  readonly losesNothing: boolean;
  /** Whether all entries were in touch with most control members at all times. */
  readonly entriesKeepTouch: boolean;
  /**
   * Callers' addresses of entries that ran without a fault and in touch with most
   * control members throughout.
   */
  readonly unimpairedEntries: readonly string[];
  /** Empty if no call showed a key. */
  readonly texts: readonly WrittenText[];
}

export const ROUTES = {
  chat: {kind: 'streaming', attempts: 2, resumable: true, path: '/chat/'},
  once: {kind: 'streaming', attempts: 1, resumable: false, path: '/chat/once/'},
  lookup: {kind: 'safe', attempts: 2, resumable: false, path: '/lookup/'},
  order: {kind: 'unsafe', attempts: 1, resumable: false, path: '/order/'},
  homed: {kind: 'safe', attempts: 2, resumable: false, path: '/homed/'},
} as const;

export type RouteName = keyof typeof ROUTES;

/** Regions in which requests of the homed route may run. */
export const HOMES: readonly string[] = ['south', 'west'];
