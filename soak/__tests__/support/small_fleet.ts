/** One control member and one entry as processes, with a stand-in upstream. */
import {mkdtempSync, readdirSync, readFileSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import type {TestContext} from 'node:test';
import type {StandInUpstream} from '../../../platform/standin/stand_in.js';
import {StandInList} from '../../../platform/standin/stand_in.js';
import {createLayout, type Layout, type ProcessPlace} from '../../layout.js';
import {MemberProcess, type UnexpectedExit} from '../../member_process.js';

const KIB = 1_024;

export interface SmallFleet {
  readonly operatorAddress: string;
  readonly directoryAddress: string;
  readonly callerAddress: string;
  readonly unexpectedExits: readonly UnexpectedExit[];
  /** What the entry, or the control member, takes of its machine. */
  usage(role?: ProcessPlace['role']): ProcessUsage;
}

export interface ProcessUsage {
  /** The most resident memory so far. */
  readonly peakBytes: number;
  readonly descriptors: number;
}

/** Starts the programs; the end of the test ends them. */
export async function startSmallFleet(
  t: TestContext,
  slot: number,
  upstream: StandInUpstream,
  entrySettings: Readonly<Record<string, unknown>>,
): Promise<SmallFleet> {
  const folder = mkdtempSync(join(tmpdir(), 'cyclamenfall-small-'));
  const layout = smallLayout(slot);
  const unexpectedExits: UnexpectedExit[] = [];
  const members = layout.processes.map(
    place =>
      new MemberProcess(
        place,
        layout,
        folder,
        exit => unexpectedExits.push(exit),
        entrySettings,
      ),
  );
  const list = new StandInList([upstream], layout.listAddress);
  t.after(async () => {
    await Promise.all(members.map(each => each.kill()));
    upstream.stop();
    list.stop();
    rmSync(folder, {recursive: true});
  });
  await Promise.all([upstream.start(), list.start()]);
  members.forEach(each => each.start());
  const memberOf = (role: ProcessPlace['role']): MemberProcess => {
    const found = members.find(({place}) => place.role === role);
    if (found === undefined) throw new Error(`no ${role} in the layout`);
    return found;
  };
  const control = memberOf('control').place;
  return {
    operatorAddress: control.mainAddress,
    directoryAddress: control.sideAddress,
    callerAddress: memberOf('entry').place.mainAddress,
    unexpectedExits,
    usage: (role = 'entry') => usageOf(memberOf(role).pid),
  };
}

/** The first control member and entry, without proxies between them. */
function smallLayout(slot: number): Layout {
  const {processes, ...layout} = createLayout(slot);
  const small = (['control', 'entry'] as const)
    .flatMap(role => processes.find(each => each.role === role) ?? [])
    .map(place => ({...place, innerProxyAddress: place.innerAddress}));
  const [, innerPort] = small[0]?.innerAddress.split(':') ?? [];
  return {...layout, processes: small, controlInnerPort: Number(innerPort)};
}

function usageOf(pid: number | undefined): ProcessUsage {
  const status = readFileSync(`/proc/${pid}/status`, 'utf8');
  const [, peakKib] = /^VmHWM:\s*(\d+) kB$/m.exec(status) ?? [];
  return {
    peakBytes: Number(peakKib) * KIB,
    descriptors: readdirSync(`/proc/${pid}/fd`).length,
  };
}
