/** Sends the decisions of the schedulers on this entry to other entries. */
import type {FleetMembers} from '../fleet/fleet_members.js';
import type {RpcClient} from '../rpc/rpc.js';
import type {Decision, Release} from '../scheduling/types.js';
import type {InstanceId} from '../types/ids.js';
import {BatchLink} from './batch_link.js';
import {DECIDE_METHOD, type SubmissionPart} from './messages.js';

export interface DecisionSenderOptions {
  readonly self: InstanceId;
  readonly members: FleetMembers;
  readonly client: RpcClient;
  readonly deliverHere: (decisions: readonly Decision[]) => void;
  /** Called with decisions that may not have reached their entry. */
  readonly onLost: (decisions: readonly Decision[]) => void;
}

interface PeerLink {
  readonly address: string;
  readonly link: BatchLink<Decision>;
}

/** Keeps one link for each entry that receives decisions. */
export class DecisionSender {
  private readonly links = new Map<InstanceId, PeerLink>();
  /** Open replies that can carry decisions, by entry. */
  private readonly replies = new Map<InstanceId, Decision[][]>();

  constructor(private readonly options: DecisionSenderOptions) {}

  send(decision: Decision): void {
    const {self, members, deliverHere, onLost} = this.options;
    if (decision.entry === self) {
      deliverHere([decision]);
      return;
    }
    const reply = this.replies.get(decision.entry)?.at(-1);
    if (reply !== undefined) {
      reply.push(decision);
      return;
    }
    const address = members.entry(decision.entry)?.innerAddress;
    if (address === undefined) onLost([decision]);
    else this.linkFor(decision.entry, address).push(decision);
  }

  /** Collects the decisions for an entry while `work` runs, for its reply. */
  async collect(
    entry: InstanceId,
    work: () => Promise<void>,
  ): Promise<readonly Decision[]> {
    const decisions: Decision[] = [];
    const open = this.replies.get(entry) ?? [];
    this.replies.set(entry, [...open, decisions]);
    await work();
    const remaining = (this.replies.get(entry) ?? []).filter(
      each => each !== decisions,
    );
    if (remaining.length > 0) this.replies.set(entry, remaining);
    else this.replies.delete(entry);
    return decisions;
  }

  private linkFor(entry: InstanceId, address: string): BatchLink<Decision> {
    const known = this.links.get(entry);
    if (known?.address === address) return known.link;
    const link = new BatchLink<Decision>({
      client: this.options.client,
      address,
      method: DECIDE_METHOD,
      pack: decisions => ({decisions}),
      onReply: () => undefined,
      onFailure: decisions => this.options.onLost(decisions),
    });
    this.links.set(entry, {address, link});
    return link;
  }
}

/** Builds the releases for grants among `decisions` that were not used. */
export function cancelledPlacements(
  decisions: readonly Decision[],
): readonly {readonly entry: InstanceId; readonly part: SubmissionPart}[] {
  return decisions.flatMap(decision => {
    if (decision.kind !== 'grant') return [];
    const {requestId, upstreamId, service, domain, entry} = decision;
    const release: Release = {
      requestId,
      upstreamId,
      outcome: 'cancelled',
      firstAnswerMs: 0,
      totalMs: 0,
    };
    return [{entry, part: {kind: 'release', service, domain, release}}];
  });
}
