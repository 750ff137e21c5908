/** The table of all measured slopes. */
import type {Results} from './results.js';
import type {Line} from './slope.js';
import {figure, table, type Row} from './table.js';

type Read = (results: Results) => Line | undefined;

/** What is measured, its unit, what the slope is per, and where it is. */
const LINES: ReadonlyArray<readonly [string, string, string, Read]> = [
  [
    'RPC call, caller',
    'µs',
    'character',
    results => results.rpc.figures.callerMicros,
  ],
  [
    'RPC call, callee',
    'µs',
    'character',
    results => results.rpc.figures.calleeMicros,
  ],
  [
    'RPC call, both ways',
    'B',
    'character',
    results => results.rpc.figures.bytes,
  ],
  [
    'entry at rest',
    'core',
    'engine polled',
    results => results.polls.figures.cpuShare,
  ],
  [
    'entry at rest',
    'B/s',
    'engine polled',
    results => results.polls.figures.bytesPerSecond,
  ],
  [
    'entry at rest',
    'core',
    'entry of the domain',
    results => results.domainMembers.figures.cpuShare,
  ],
  [
    'entry at rest',
    'B/s',
    'entry of the domain',
    results => results.domainMembers.figures.bytesPerSecond,
  ],
  [
    'control leader at rest',
    'core',
    'member',
    results => results.controlGroups.figures.leaderCpuShare,
  ],
  [
    'control leader at rest',
    'B/s',
    'member',
    results => results.controlGroups.figures.leaderBytesPerSecond,
  ],
  [
    'control follower at rest',
    'core',
    'member',
    results => results.controlGroups.figures.followerCpuShare,
  ],
  [
    'control follower at rest',
    'B/s',
    'member',
    results => results.controlGroups.figures.followerBytesPerSecond,
  ],
  [
    'one change, leader',
    'ms',
    'workspace',
    results => results.changes.figures['leaderCpuMs'],
  ],
  [
    'one change, follower',
    'ms',
    'workspace',
    results => results.changes.figures['followerCpuMs'],
  ],
  [
    'one change, entry',
    'ms',
    'workspace',
    results => results.changes.figures['entryCpuMs'],
  ],
  [
    'one change, leader, sockets and files',
    'B',
    'workspace',
    results => results.changes.figures['leaderIoBytes'],
  ],
  [
    'one change, entry, sockets and files',
    'B',
    'workspace',
    results => results.changes.figures['entryIoBytes'],
  ],
  [
    'accepted until in force on all entries, mean',
    'ms',
    'workspace',
    results => results.changes.figures['inForceMs'],
  ],
  [
    'accepted until in force on all entries, longest',
    'ms',
    'workspace',
    results => results.changes.figures['inForceMaxMs'],
  ],
  [
    'streamed request, entry',
    'µs',
    'token',
    results => results.requests.figures.streamedMicros,
  ],
  [
    'streamed request, entry, sockets',
    'B',
    'token',
    results => results.requests.figures.streamedBytes,
  ],
  [
    'streamed request of 4 tokens, entry',
    'µs',
    'engine of the domain',
    results => results.requestsByEngines.figures.streamedMicros,
  ],
  [
    'one view of the fleet',
    'µs',
    'worker of the deployment',
    results => results.fleetView.figures.viewMicros,
  ],
  [
    'non-idempotent call, all members',
    'µs',
    'entry of the domain',
    results => results.bookings.figures.allMembersMicros,
  ],
  [
    'non-idempotent call, busiest member',
    'µs',
    'entry of the domain',
    results => results.bookings.figures.busiestMicros,
  ],
  [
    'heap',
    'B',
    'stream in flight',
    results => results.memory.figures.streams.heapBytes,
  ],
  [
    'resident',
    'B',
    'stream in flight',
    results => results.memory.figures.streams.rssBytes,
  ],
  [
    'heap',
    'B',
    'queued request',
    results => results.memory.figures.queued.heapBytes,
  ],
  [
    'heap of an entry',
    'B',
    'workspace',
    results => results.workspaces.figures.heapBytes,
  ],
  [
    'resident of an entry',
    'B',
    'workspace',
    results => results.workspaces.figures.rssBytes,
  ],
];

function rowOf(
  name: string,
  unit: string,
  per: string,
  line: Line | undefined,
): Row {
  if (line === undefined) return [name, '', '', unit, per, 'not measured'];
  const points = line.points
    .map(({size, value}) => `${figure(size)}: ${figure(value)}`)
    .join('; ');
  return [name, figure(line.base), figure(line.slope), unit, per, points];
}

/** One row for each line. */
export function slopeTable(results: Results): string {
  return table(
    ['what', 'base', 'slope', 'unit', 'slope per', 'points (size: value)'],
    LINES.map(([name, unit, per, read]) =>
      rowOf(name, unit, per, read(results)),
    ),
  );
}
