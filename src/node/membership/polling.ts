/**
 * Rendezvous hashing: each upstream is polled by the live instance with the
 * highest hash of both ids. When an instance fails, only its upstreams are
 * reassigned.
 */
import type {InstanceId, UpstreamId} from '../types/ids.js';

const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;
const MIX_1 = 0x85ebca6b;
const MIX_2 = 0xc2b2ae35;

/** A 32-bit hash: FNV-1a with the finalizer of MurmurHash3 for uniform bits. */
export function hash32(text: string): number {
  let hash = FNV_OFFSET;
  for (let index = 0; index < text.length; index++) {
    hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME);
  }
  hash = Math.imul(hash ^ (hash >>> 16), MIX_1);
  hash = Math.imul(hash ^ (hash >>> 13), MIX_2);
  return (hash ^ (hash >>> 16)) >>> 0;
}

/** The candidate with the highest hash together with `key`. */
export function rendezvousOwner<Id extends string>(
  key: string,
  candidates: readonly Id[],
): Id | undefined {
  return candidates
    .map(candidate => ({candidate, weight: hash32(`${key}|${candidate}`)}))
    .reduce<{candidate: Id; weight: number} | undefined>(
      (best, next) =>
        best === undefined ||
        next.weight > best.weight ||
        (next.weight === best.weight && next.candidate < best.candidate)
          ? next
          : best,
      undefined,
    )?.candidate;
}

/** The upstreams that `self` polls, given the live instances. */
export function assignedUpstreams(
  upstreamIds: readonly UpstreamId[],
  live: readonly InstanceId[],
  self: InstanceId,
): UpstreamId[] {
  return upstreamIds.filter(
    upstreamId => rendezvousOwner(upstreamId, live) === self,
  );
}
