/** Addresses of the processes of one soak run, all on loopback. */

/** The service that all routes lead to. */
export const SERVICE = 'svc';
export const REGIONS: readonly string[] = ['north', 'south', 'west'];
const ENTRIES_PER_REGION = 2;
/** By the position of the region. */
export const UPSTREAMS_PER_REGION: readonly number[] = [2, 2, 2];
/** Hosts of parallel runs differ in their second number, 127.x. */
const FIRST_NETWORK = 100;
const NETWORKS = 100;
const FIRST_UPSTREAM_HOST = 101;

const PORT = {
  caller: 8144,
  readiness: 8140,
  metrics: 9464,
  operator: 8146,
  /** Of the proxy that operators use. */
  operatorProxy: 8145,
  directory: 8148,
  /** Of the proxy that other processes use. */
  innerProxy: 7700,
  inner: 7701,
  upstream: 8201,
  upstreamProxy: 8200,
  list: 8142,
} as const;

/** How often upstreams may get requests again; all settings name it. */
export const RETRY_BUDGET = {ratio: 0.2, windowMs: 10_000, slack: 40} as const;

/** By how much a quota may be exceeded in any window; settings of control members name it. */
export const QUOTA_TOLERANCE = {
  windowMs: 8_000,
  overage: 0.1,
  slackTokens: 100,
} as const;

/** Where one process listens. */
export interface ProcessPlace {
  readonly role: 'entry' | 'control';
  readonly name: string;
  readonly region: string;
  readonly domain: string;
  readonly host: string;
  readonly innerAddress: string;
  readonly innerProxyAddress: string;
  readonly metricsAddress: string;
  /** Callers' address of an entry, operators' address of a control member. */
  readonly mainAddress: string;
  /** Where operators reach a control member. */
  readonly operatorProxyAddress: string;
  /** Readiness of an entry, directory of a control member. */
  readonly sideAddress: string;
}

export interface UpstreamPlace {
  readonly name: string;
  readonly domain: string;
  readonly address: string;
  readonly proxyAddress: string;
}

export interface Layout {
  readonly processes: readonly ProcessPlace[];
  readonly upstreams: readonly UpstreamPlace[];
  readonly listAddress: string;
  readonly controlInnerPort: number;
}

/** One failure domain for each region. */
export function domainOf(region: string): string {
  return `${region}-a`;
}

/** The layout of a run; runs at the same time need different slots. */
export function createLayout(
  slot: number,
  upstreamsPerRegion = UPSTREAMS_PER_REGION,
): Layout {
  const network = `127.${FIRST_NETWORK + (slot % NETWORKS)}.0`;
  const controls = REGIONS.map((region, index) =>
    placeOf('control', region, `${network}.${index + 1}`, index),
  );
  const entries = REGIONS.flatMap((region, index) =>
    Array.from({length: ENTRIES_PER_REGION}, (_, each) => {
      const position = index * ENTRIES_PER_REGION + each;
      return placeOf('entry', region, `${network}.${11 + position}`, position);
    }),
  );
  const upstreams = REGIONS.flatMap((region, index) =>
    Array.from({length: upstreamsPerRegion[index] ?? 0}, () => region),
  ).map((region, position) => {
    const host = `${network}.${FIRST_UPSTREAM_HOST + position}`;
    return {
      name: `u${position}`,
      domain: domainOf(region),
      address: `${host}:${PORT.upstream}`,
      proxyAddress: `${host}:${PORT.upstreamProxy}`,
    };
  });
  return {
    processes: [...controls, ...entries],
    upstreams,
    listAddress: `${network}.200:${PORT.list}`,
    controlInnerPort: PORT.innerProxy,
  };
}

function placeOf(
  role: ProcessPlace['role'],
  region: string,
  host: string,
  position: number,
): ProcessPlace {
  const isEntry = role === 'entry';
  return {
    role,
    name: `${role}-${position}`,
    region,
    domain: domainOf(region),
    host,
    innerAddress: `${host}:${PORT.inner}`,
    innerProxyAddress: `${host}:${PORT.innerProxy}`,
    metricsAddress: `${host}:${PORT.metrics}`,
    mainAddress: `${host}:${isEntry ? PORT.caller : PORT.operator}`,
    operatorProxyAddress: `${host}:${PORT.operatorProxy}`,
    sideAddress: `${host}:${isEntry ? PORT.readiness : PORT.directory}`,
  };
}
