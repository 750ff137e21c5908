/** Puts the faults of a plan into effect and ends them. */
import {setTimeout as sleep} from 'node:timers/promises';
import type {StandInUpstream} from '../platform/standin/stand_in.js';
import type {Fault} from './fault_plan.js';
import type {Fleet} from './fleet.js';
import type {MemberProcess} from './member_process.js';
import type {Operator} from './operator.js';
import {OrderRunner} from './order_runner.js';
import type {TcpProxy} from './tcp_proxy.js';

/** Runs all faults of a plan; resolves when the last one has ended. */
export async function runFaults(
  faults: readonly Fault[],
  fleet: Fleet,
  operator: Operator,
): Promise<void> {
  const runner = new FaultRunner(fleet, operator);
  await Promise.all(
    faults.map(async fault => {
      await sleep(fault.atMs);
      await runner.run(fault);
    }),
  );
}

class FaultRunner {
  private readonly orders: OrderRunner;

  constructor(
    private readonly fleet: Fleet,
    operator: Operator,
  ) {
    this.orders = new OrderRunner(fleet, operator);
  }

  run(fault: Fault): Promise<void> {
    const {kind} = fault;
    if (kind.startsWith('link')) return this.impairLink(fault);
    if (kind === 'control_cut') return this.cutFromControls(fault);
    if (kind.startsWith('upstream')) return this.changeUpstream(fault);
    if (kind === 'evacuate') return this.orders.evacuate(fault);
    if (kind === 'late_order' && fault.late !== undefined) {
      return this.orders.sendLate(fault, fault.late);
    }
    if (kind === 'operator_link') {
      return this.impair(this.fleet.operatorProxies.get(fault.target), fault);
    }
    if (kind === 'list_down') return this.failList(fault);
    if (kind === 'kill_all') return this.killTogether(fault, () => true);
    if (kind === 'kill_controls') {
      return this.killTogether(fault, each => each.place.role === 'control');
    }
    const member = this.fleet.members.get(fault.target);
    return member === undefined
      ? Promise.resolve()
      : this.changeProcess(fault, member);
  }

  private async changeProcess(
    {kind, durationMs}: Fault,
    member: MemberProcess,
  ): Promise<void> {
    switch (kind) {
      case 'pause':
        member.pause();
        await sleep(durationMs);
        member.resume();
        return;
      case 'terminate':
        if (member.isRunning) await this.fleet.roll(member);
        return;
      case 'reload_with_signal':
      case 'reload_silently':
        return member.reload(kind === 'reload_with_signal');
      case 'refuse_disk':
      case 'stall_disk':
        member.impairDisk(kind === 'refuse_disk' ? 'refuse' : 'stall');
        await sleep(durationMs);
        member.impairDisk(undefined);
        return;
      default:
        await member.kill();
        if (kind === 'wipe_disk') member.wipeDisk();
        if (kind === 'tear_disk') member.tearDisk();
        await sleep(durationMs);
        member.start();
    }
  }

  private async killTogether(
    {durationMs}: Fault,
    isTarget: (member: MemberProcess) => boolean,
  ): Promise<void> {
    const targets = [...this.fleet.members.values()].filter(isTarget);
    await Promise.all(targets.map(each => each.kill()));
    await sleep(durationMs);
    targets.forEach(each => each.start());
  }

  private async impairLink(fault: Fault): Promise<void> {
    const proxy = this.fleet.proxies.get(fault.target);
    if (fault.kind === 'link_reset') {
      proxy?.reset();
      return;
    }
    await this.impair(proxy, fault);
  }

  private async cutFromControls({target, durationMs}: Fault): Promise<void> {
    const host = this.fleet.members.get(target)?.place.host ?? '';
    const {controlProxies} = this.fleet;
    controlProxies.forEach(proxy => proxy.cut(host));
    await sleep(durationMs);
    controlProxies.forEach(proxy => proxy.join(host));
  }

  private async impair(
    proxy: TcpProxy | undefined,
    {link = 'open', delayMs, durationMs}: Fault,
  ): Promise<void> {
    proxy?.impair(link, delayMs);
    await sleep(durationMs);
    proxy?.impair('open');
  }

  private async changeUpstream(fault: Fault): Promise<void> {
    const {kind, target, durationMs, behaviour} = fault;
    if (kind === 'upstream_crash') {
      this.fleet.crashUpstream(target);
      await sleep(durationMs);
      await this.fleet.restartUpstream(target);
      return;
    }
    const upstream = this.fleet.upstream(target);
    if (upstream === undefined) return;
    if (kind === 'upstream_copies') return this.sendCopies(fault, upstream);
    if (kind === 'upstream_drain') upstream.isDraining = true;
    else upstream.behaviour = behaviour ?? 'answer';
    await sleep(durationMs);
    upstream.isDraining = false;
    upstream.behaviour = 'answer';
  }

  private async sendCopies(
    {behaviour, copies, durationMs}: Fault,
    upstream: StandInUpstream,
  ): Promise<void> {
    upstream.thirdBehaviour = behaviour;
    upstream.refusalStatus = copies?.refusalStatus ?? 503;
    upstream.copies.areOfAnswers = copies?.areOfAnswers ?? false;
    upstream.copies.moment = copies?.moment ?? 'never';
    await sleep(durationMs);
    upstream.thirdBehaviour = undefined;
    upstream.copies.areOfAnswers = false;
    upstream.copies.moment = 'never';
  }

  private async failList({durationMs}: Fault): Promise<void> {
    this.fleet.list.isAvailable = false;
    await sleep(durationMs);
    this.fleet.list.isAvailable = true;
  }
}
