/**
 * Rendezvous hashing: all instances that know the same candidates agree on whom
 * a job falls to, and losing one candidate moves only the jobs that it had.
 */
import {createHash} from 'node:crypto';

const MAX_RANKS = 10_000;
const ranks = new Map<string, string>();

/** The rank of a candidate for a job; the lowest one gets it. */
export function rankOf(job: string, candidateId: string): string {
  const key = `${job}\n${candidateId}`;
  const known = ranks.get(key);
  if (known !== undefined) return known;
  if (ranks.size >= MAX_RANKS) ranks.clear();
  const rank = createHash('sha1').update(key).digest('hex');
  ranks.set(key, rank);
  return rank;
}

/** The candidate to which a job falls. */
export function lowestRanked<Candidate>(
  candidates: readonly Candidate[],
  job: string,
  idOf: (candidate: Candidate) => string,
): Candidate | undefined {
  return candidates.reduce<Candidate | undefined>(
    (first, each) =>
      first === undefined || rankOf(job, idOf(each)) < rankOf(job, idOf(first))
        ? each
        : first,
    undefined,
  );
}
