/** Rendezvous (highest random weight) hashing. */
import {createHash} from 'node:crypto';

/**
 * The candidate that `key` maps to. A candidate that is added or removed moves
 * only the keys that it gains or had. Throws if there is no candidate.
 */
export function rendezvousChoice<Candidate extends string>(
  key: string,
  candidates: readonly Candidate[],
): Candidate {
  const scored = candidates.map(candidate => ({
    candidate,
    score: createHash('sha256').update(`${key}\n${candidate}`).digest('hex'),
  }));
  const [best] = scored.sort((left, right) =>
    left.score < right.score ? 1 : -1,
  );
  if (best === undefined) throw new Error(`no candidate for ${key}`);
  return best.candidate;
}
