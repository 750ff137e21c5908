/** Choice of the members of the configuration log and of the record logs. */
import type {Answers, InstanceAnswer} from './answers.js';

/** Upper bound on control members: 7, the largest odd number up to 8. */
const MAX_CONTROL_MEMBERS = 7;
const MAX_DISK_VOTERS = 3;
const MAX_DISKLESS_BESIDE_ONE_DISK = 2;
const MAX_MEMORY_VOTERS = 3;
const SINGLE_DISK_WEIGHT = 2;

function byId(left: InstanceAnswer, right: InstanceAnswer): number {
  return left.id < right.id ? -1 : 1;
}

// The first domain of each region, then the second of each, and so on, so that
// a few members already cover all regions.
function interleavedDomains(answers: Answers): readonly string[] {
  const depth = Math.max(...answers.regions.map(({domains}) => domains.length));
  return Array.from({length: depth}, (_, index) => index).flatMap(index =>
    answers.regions.flatMap(({domains}) => domains.slice(index, index + 1)),
  );
}

/**
 * The instances that hold the configuration log: taken in turn from each
 * domain, by id, up to the largest odd number that the candidates allow.
 */
export function chooseControlMembers(
  answers: Answers,
): readonly InstanceAnswer[] {
  const queues = interleavedDomains(answers).map(domain =>
    answers.instances
      .filter(instance => instance.domain === domain)
      .filter(instance => instance.disk && instance.controlAddress)
      .sort(byId),
  );
  const depth = Math.max(...queues.map(queue => queue.length));
  const inTurn = Array.from({length: depth}, (_, index) => index).flatMap(
    index => queues.flatMap(queue => queue.slice(index, index + 1)),
  );
  const available = Math.min(inTurn.length, MAX_CONTROL_MEMBERS);
  const count = available % 2 === 1 ? available : available - 1;
  return inTurn.slice(0, count);
}

/**
 * Votes in the record log of one domain, by instance id; 0 means no member.
 * Every quorum holds a disk as long as the domain has one.
 */
export function recordWeights(
  instances: readonly InstanceAnswer[],
): ReadonlyMap<string, number> {
  const sorted = [...instances].sort(byId);
  const disks = sorted.filter(({disk}) => disk).slice(0, MAX_DISK_VOTERS);
  const diskless = sorted.filter(({disk}) => !disk);
  const disklessCount = disklessVoterCount(disks.length);
  const diskWeight = disks.length === 1 ? SINGLE_DISK_WEIGHT : 1;
  return new Map<string, number>([
    ...instances.map(({id}): [string, number] => [id, 0]),
    ...disks.map(({id}): [string, number] => [id, diskWeight]),
    ...diskless
      .slice(0, disklessCount)
      .map(({id}): [string, number] => [id, 1]),
  ]);
}

function disklessVoterCount(diskCount: number): number {
  if (diskCount === 0) return MAX_MEMORY_VOTERS;
  return diskCount === 1 ? MAX_DISKLESS_BESIDE_ONE_DISK : diskCount - 1;
}
