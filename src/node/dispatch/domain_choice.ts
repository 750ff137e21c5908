/**
 * Chooses the failure domain whose scheduler is asked about a request. Requests
 * that share the beginning of a long prompt go to one domain, so that its
 * engines read it once; all others stay in the domain of their entry.
 */
import {firstInRank} from '../fleet/rendezvous.js';
import {sharedTokens} from '../scheduling/prompt_estimates.js';
import type {PromptSize, WorkItem} from '../scheduling/types.js';
import type {DomainId} from '../types/ids.js';

/** Reading fewer shared tokens again costs less than leaving the domain. */
const MIN_SHARED_TOKENS = 1_000;

export interface DomainChoiceOptions {
  /** The domain of this entry. */
  readonly own: DomainId;
  /** All domains of its region. */
  readonly domains: readonly DomainId[];
  /** Domains that operators keep from new work. */
  readonly evacuated: () => readonly DomainId[];
}

/** The choice of one entry. */
export class DomainChoice {
  constructor(private readonly options: DomainChoiceOptions) {}

  /** The domain that is asked first. */
  first({prompt, entry}: WorkItem): DomainId {
    const {own} = this.options;
    const open = this.open();
    const part = sharedPart(prompt);
    const keepsOwn = part === undefined && open.includes(own);
    if (keepsOwn) return own;
    return firstInRank(open, part ?? entry, domain => domain) ?? own;
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

/** The last of the parts that requests share, if they are worth reading once. */
function sharedPart(prompt: PromptSize | undefined): string | undefined {
  if (prompt === undefined) return undefined;
  const isLong = sharedTokens(prompt.parts) >= MIN_SHARED_TOKENS;
  return isLong ? prompt.parts.at(-2)?.partId : undefined;
}
