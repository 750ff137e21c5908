/** Sends operators' orders, also ones that are held up on their way. */
import {setTimeout as sleep} from 'node:timers/promises';
import type {Fault, LatePlan} from './fault_plan.js';
import type {Fleet} from './fleet.js';
import type {Operator} from './operator.js';

const RESEND_MS = 500;
/** An evacuation has to hold longer than the entries may take to obey it. */
const KEPT_MS = 8_000;
/** Members may be unable to confirm anything while an order is held up. */
const LONGEST_HOLD_MS = 8_000;

/** The operators of one run, each with one domain at a time. */
export class OrderRunner {
  private readonly held = new Set<LatePlan>();

  constructor(
    private readonly fleet: Fleet,
    private readonly operator: Operator,
  ) {}

  async evacuate({target, durationMs, isKept = false}: Fault): Promise<void> {
    await this.confirm(target, true);
    if (isKept) return;
    await sleep(durationMs);
    await this.confirm(target, false);
  }

  /**
   * An order is held up and given up, sent again elsewhere and confirmed; so is
   * the opposite one. Then the first one arrives.
   */
  async sendLate(fault: Fault, late: LatePlan): Promise<void> {
    const {target, durationMs, isKept = false} = fault;
    if (late.isReturn) {
      await this.confirm(target, true);
      await sleep(durationMs);
    }
    const release = this.hold(late);
    const limit = setTimeout(release, LONGEST_HOLD_MS);
    await this.send(target, !late.isReturn, this.firstAddress(late));
    await this.confirm(target, !late.isReturn);
    await sleep(durationMs);
    await this.confirm(target, late.isReturn);
    await sleep(late.lateMs);
    clearTimeout(limit);
    release();
    if (isKept || !late.isReturn) return;
    await sleep(KEPT_MS);
    await this.confirm(target, false);
  }

  // The operator resends an order until it is confirmed.
  private async confirm(domain: string, isEvacuated: boolean): Promise<void> {
    if (await this.send(domain, isEvacuated)) return;
    await sleep(RESEND_MS);
    await this.confirm(domain, isEvacuated);
  }

  private send(
    domain: string,
    isEvacuated: boolean,
    address?: string,
  ): Promise<boolean> {
    return isEvacuated
      ? this.operator.evacuate(domain, address)
      : this.operator.takeBack(domain, address);
  }

  /** Held up between members, an order has to come in at another one. */
  private firstAddress({member, delay}: LatePlan): string | undefined {
    const isAtMember = delay !== 'member_link';
    return this.fleet.layout.processes.find(
      ({role, name}) => role === 'control' && (name === member) === isAtMember,
    )?.operatorProxyAddress;
  }

  /** Returns how to end the hold; it lasts until all that overlap have ended. */
  private hold(late: LatePlan): () => void {
    this.impair(late, true);
    this.held.add(late);
    return () => {
      if (!this.held.delete(late)) return;
      const isStillHeld = [...this.held].some(
        ({member, delay}) => member === late.member && delay === late.delay,
      );
      if (!isStillHeld) this.impair(late, false);
    };
  }

  private impair({member, delay}: LatePlan, isHeld: boolean): void {
    const {members, operatorProxies, proxies} = this.fleet;
    const state = isHeld ? 'cut_inbound' : 'open';
    if (delay === 'operator_link') operatorProxies.get(member)?.impair(state);
    if (delay === 'member_link') proxies.get(member)?.impair(state);
    if (delay !== 'paused_member') return;
    if (isHeld) members.get(member)?.pause();
    else members.get(member)?.resume();
  }
}
