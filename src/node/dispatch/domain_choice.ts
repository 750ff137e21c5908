/**
 * Chooses the failure domain whose scheduler decides on a request. Requests
 * that share a long prompt prefix go to the same domain, so that only its
 * engines run prefill for it; all others stay in the domain of their entry.
 */
import {lowestRanked} from '../fleet/rendezvous.js';
import {sharedTokens} from '../scheduling/prompt_parts.js';
import type {PromptSize, WorkItem} from '../scheduling/types.js';
import type {DomainId} from '../types/ids.js';

/** Repeated prefill of shorter prefixes costs less than leaving the domain. */
const MIN_SHARED_TOKENS = 1_000;

export interface DomainChoiceOptions {
  /** The domain of this entry. */
  readonly own: DomainId;
  /** All domains of its region. */
  readonly domains: readonly DomainId[];
  /** Domains that operators have closed to new work. */
  readonly evacuated: () => readonly DomainId[];
}

/** Chooses domains for the requests of one entry. */
export class DomainChoice {
  constructor(private readonly options: DomainChoiceOptions) {}

  /** The domain whose scheduler is asked first. */
  first({prompt, entry}: WorkItem): DomainId {
    const {own} = this.options;
    const open = this.open();
    const part = sharedPart(prompt);
    const keepsOwn = part === undefined && open.includes(own);
    if (keepsOwn) return own;
    return lowestRanked(open, part ?? entry, domain => domain) ?? own;
  }

  /** The domain to ask when the scheduler of another one did not answer. */
  afterFailure(failed: DomainId): DomainId {
    const {own} = this.options;
    return this.open().includes(own) ? own : failed;
  }

  private open(): readonly DomainId[] {
    const {domains, evacuated} = this.options;
    const closed = evacuated();
    const open = domains.filter(each => !closed.includes(each));
    return open.length > 0 ? open : domains;
  }
}

/** The last shared part of the prompt, if the shared prefix is long enough. */
function sharedPart(prompt: PromptSize | undefined): string | undefined {
  if (prompt === undefined) return undefined;
  const isLong = sharedTokens(prompt.parts) >= MIN_SHARED_TOKENS;
  return isLong ? prompt.parts.at(-2)?.partId : undefined;
}
