/** All processes, proxies and stand-ins of one run. */
import {mkdirSync, readdirSync, readFileSync} from 'node:fs';
import {join} from 'node:path';
import {StandInList, StandInUpstream} from '../platform/standin/stand_in.js';
import {
  createLayout,
  SERVICE,
  type Layout,
  type UpstreamPlace,
} from './layout.js';
import {
  MemberProcess,
  STOP_GRACE_MS,
  type UnexpectedExit,
} from './member_process.js';
import type {WrittenText} from './history.js';
import type {SoakProfile} from './profile.js';
import {TcpProxy} from './tcp_proxy.js';

/** A process may need this long beyond its grace to be gone. */
const STOP_MARGIN_MS = 500;

/** The running system with everything that impairs it. */
export class Fleet {
  readonly layout: Layout;
  readonly members: ReadonlyMap<string, MemberProcess>;
  /** By the name of the process or upstream behind it. */
  readonly proxies: ReadonlyMap<string, TcpProxy>;
  /** Between operators and control members, by the member's name. */
  readonly operatorProxies: ReadonlyMap<string, TcpProxy>;
  readonly list: StandInList;
  readonly unexpectedExits: UnexpectedExit[] = [];
  readonly slowStops: string[] = [];
  /** The upstream that runs now under each place's name. */
  private readonly current = new Map<string, StandInUpstream>();
  private readonly listed: StandInUpstream[] = [];
  private readonly past: StandInUpstream[] = [];

  constructor(
    slot: number,
    private readonly folder: string,
    private readonly profile: SoakProfile,
  ) {
    mkdirSync(folder, {recursive: true});
    this.layout = createLayout(slot, profile.upstreamsPerRegion);
    const {processes, upstreams, listAddress} = this.layout;
    this.members = new Map(
      processes.map(place => [
        place.name,
        new MemberProcess(place, this.layout, folder, exit =>
          this.unexpectedExits.push(exit),
        ),
      ]),
    );
    this.proxies = new Map([
      ...processes.map(
        each =>
          [
            each.name,
            new TcpProxy(each.innerProxyAddress, each.innerAddress),
          ] as const,
      ),
      ...upstreams.map(
        each =>
          [each.name, new TcpProxy(each.proxyAddress, each.address)] as const,
      ),
    ]);
    this.operatorProxies = new Map(
      processes
        .filter(each => each.role === 'control')
        .map(({name, operatorProxyAddress, mainAddress}) => [
          name,
          new TcpProxy(operatorProxyAddress, mainAddress),
        ]),
    );
    this.list = new StandInList(this.listed, listAddress);
  }

  /** Every upstream that ever ran. */
  get upstreams(): readonly StandInUpstream[] {
    return [...this.past, ...this.current.values()];
  }

  /** Between all other processes and the control members. */
  get controlProxies(): readonly TcpProxy[] {
    return this.layout.processes
      .filter(each => each.role === 'control')
      .flatMap(({name}) => this.proxies.get(name) ?? []);
  }

  private get allProxies(): readonly TcpProxy[] {
    return [...this.proxies.values(), ...this.operatorProxies.values()];
  }

  upstream(name: string): StandInUpstream | undefined {
    return this.current.get(name);
  }

  async start(): Promise<void> {
    await this.list.start();
    await Promise.all(
      this.layout.upstreams.map(each => this.addUpstream(each)),
    );
    await Promise.all(this.allProxies.map(each => each.start()));
    this.members.forEach(member => member.start());
  }

  /** Ends only what this run started. */
  async stop(): Promise<void> {
    this.members.forEach(member => member.resume());
    await Promise.all([...this.members.values()].map(each => each.kill()));
    this.allProxies.forEach(proxy => proxy.stop());
    this.upstreams.forEach(each => each.stop());
    this.list.stop();
  }

  /** What upstreams were sent, and what running processes show and have written. */
  async texts(): Promise<readonly WrittenText[]> {
    const metrics = await Promise.all(
      this.layout.processes.map(async ({name, metricsAddress}) => {
        // A process that has ended shows none; its end is noted elsewhere.
        const text = await fetch(`http://${metricsAddress}/metrics`)
          .then(answer => answer.text())
          .catch(() => '');
        return {source: `metrics of ${name}`, text};
      }),
    );
    return [
      ...this.upstreams.map(({upstreamId, requestTexts}) => ({
        source: upstreamId,
        text: requestTexts.join('\n'),
      })),
      ...metrics,
      ...filesIn(this.folder),
    ];
  }

  /** A planned stop and a new start; notes a stop beyond the grace. */
  async roll(member: MemberProcess): Promise<void> {
    const tookMs = await member.terminate();
    if (tookMs > STOP_GRACE_MS + STOP_MARGIN_MS) {
      this.slowStops.push(member.place.name);
    }
    member.start();
  }

  crashUpstream(name: string): void {
    const upstream = this.current.get(name);
    if (upstream === undefined) return;
    upstream.stop();
    this.past.push(upstream);
    this.current.delete(name);
    this.listed.splice(this.listed.indexOf(upstream), 1);
  }

  /** Starts a successor, if the upstream crashed. */
  async restartUpstream(name: string): Promise<void> {
    const place = this.layout.upstreams.find(each => each.name === name);
    if (place === undefined || this.current.has(name)) return;
    await this.addUpstream(place);
  }

  private async addUpstream(place: UpstreamPlace): Promise<void> {
    const {name, domain, address, proxyAddress} = place;
    const lifetime = this.past.filter(each => each.address === address).length;
    const position = this.layout.upstreams.indexOf(place);
    const upstream = new StandInUpstream(
      `${name}-${lifetime}`,
      SERVICE,
      domain,
      {
        address,
        listedAddress: proxyAddress,
        eventPauseMs: this.profile.eventPauseMs,
        isUnframed: this.profile.isUnframed(position),
        namesRequests: true,
        keepsRequests: this.profile.keepsTexts,
      },
    );
    upstream.bornAtMs = lifetime + 1;
    // Two versions side by side in each region; a successor has the other one.
    upstream.softwareVersion = (position + lifetime) % 2 === 0 ? 'v1' : 'v2';
    this.current.set(name, upstream);
    this.listed.push(upstream);
    await upstream.start();
  }
}

/** All files below a folder; one that is replaced meanwhile is left out. */
function filesIn(folder: string): readonly WrittenText[] {
  return readdirSync(folder, {recursive: true, withFileTypes: true})
    .filter(each => each.isFile())
    .flatMap(({name, path}) => {
      try {
        const text = readFileSync(join(path, name), 'latin1');
        return [{source: name, text}];
      } catch {
        return [];
      }
    });
}
