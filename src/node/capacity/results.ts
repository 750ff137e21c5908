/** The shape of `docs/results/slopes.json` that the page is made from. */
import type {Usage} from './processes.js';
import type {Line} from './slope.js';

/** When and where one part was measured. */
export interface Measured {
  readonly at: string;
  readonly seconds: number;
  readonly cores: number;
  readonly memoryGib: number;
  readonly node: string;
}

interface Part<Figures> {
  readonly measured: Measured;
  readonly figures: Figures;
}

/** One line of `membership/measure.ts`. */
export interface MembershipFigures {
  readonly nodes: number;
  readonly domains: number;
  readonly bytesPerSecondMean: number;
  readonly bytesPerSecondMax: number;
  readonly callsPerSecondByMethod: Readonly<Record<string, number>>;
  readonly bytesPerSecondByMethod: Readonly<Record<string, number>>;
  readonly cpuShare: number;
  readonly heapBytesPerNode: number;
}

/** All parts. */
export interface Results {
  readonly baselines: Part<{
    readonly runtime: Usage;
    readonly entry: Usage;
    readonly control: Usage;
  }>;
  readonly rpc: Part<{
    readonly callerMicros: Line;
    readonly calleeMicros: Line;
    readonly bytes: Line;
  }>;
  readonly polls: Part<{
    readonly cpuShare: Line;
    readonly bytesPerSecond: Line;
  }>;
  readonly domainMembers: Part<{
    readonly cpuShare: Line;
    readonly bytesPerSecond: Line;
  }>;
  readonly controlGroups: Part<{
    readonly leaderCpuShare: Line;
    readonly leaderBytesPerSecond: Line;
    readonly followerCpuShare: Line;
    readonly followerBytesPerSecond: Line;
  }>;
  readonly changes: Part<Readonly<Record<string, Line>>>;
  readonly requests: Part<{
    readonly streamedMicros: Line;
    readonly streamedBytes: Line;
    readonly wholeMicros: number;
  }>;
  readonly requestsByEngines: Part<{readonly streamedMicros: Line}>;
  readonly fleetView: Part<{readonly viewMicros: Line}>;
  readonly bookings: Part<{
    readonly allMembersMicros: Line;
    readonly busiestMicros: Line;
  }>;
  readonly memory: Part<{
    readonly streams: {readonly heapBytes: Line; readonly rssBytes: Line};
    readonly queued: {readonly heapBytes: Line; readonly rssBytes: Line};
  }>;
  readonly workspaces: Part<{
    readonly heapBytes: Line;
    readonly rssBytes: Line;
  }>;
  readonly records: Part<Readonly<Record<string, number>>>;
  readonly replication: Part<{
    readonly appendsOnDisk: ReadonlyArray<Readonly<Record<string, number>>>;
    readonly idle: Readonly<Record<string, number>>;
  }>;
  readonly membership: Part<readonly MembershipFigures[]>;
}
