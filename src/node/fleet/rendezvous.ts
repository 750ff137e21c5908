/**
 * Rendezvous hashing: all instances with the same candidates assign a job to
 * the same one, and the loss of a candidate moves only the jobs it had.
 */
import {createHash} from 'node:crypto';

const MAX_RANKS = 10_000;
const ranks = new Map<string, string>();

/** Rank of a candidate for a job; the candidate with the lowest is chosen. */
export function rankOf(job: string, candidateId: string): string {
  const key = `${job}\n${candidateId}`;
  const known = ranks.get(key);
  if (known !== undefined) return known;
  if (ranks.size >= MAX_RANKS) ranks.clear();
  const rank = createHash('sha1').update(key).digest('hex');
  ranks.set(key, rank);
  return rank;
}

/** The candidate that a job is assigned to. */
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
