/**
 * The adapters through which an entry does its input and output: other
 * instances, upstreams, the platform and the disk. Tests replace them.
 */
import type {ClientDirectory} from '../adapters/directory/client_directory.js';
import {HttpClientDirectory} from '../adapters/directory/http_client_directory.js';
import {HttpPlatformFeed} from '../adapters/platform/http_platform_feed.js';
import type {PlatformFeed} from '../adapters/platform/platform_feed.js';
import type {ModelUpstream} from '../adapters/upstream/model_upstream.js';
import {OpenAiUpstream} from '../adapters/upstream/openai/openai_upstream.js';
import {PlainHttpUpstream} from '../adapters/upstream/plain_http.js';
import type {ServiceUpstream} from '../adapters/upstream/plain_service.js';
import type {EntrySettings} from '../config/settings.js';
import {HttpRpcClient} from '../rpc/http_client.js';
import type {RpcClient} from '../rpc/rpc.js';
import type {FileLayer} from '../storage/file_layer.js';
import {NodeFileLayer} from '../storage/node_file_layer.js';
import {HttpForwarder, type Forwarder} from './forwarding.js';

/** Adapters to the platform: its list of upstreams and its directory. */
export interface PlatformAdapters {
  readonly feed: PlatformFeed;
  readonly directory: ClientDirectory;
}

/** The adapters of one entry. */
export interface EntryAdapters {
  readonly client: RpcClient;
  readonly forwarder: Forwarder;
  readonly modelUpstream: ModelUpstream;
  readonly serviceUpstream: ServiceUpstream;
  readonly platform: PlatformAdapters | undefined;
  /** File access, if the instance has a disk. */
  readonly files: FileLayer | undefined;
}

/** Creates the adapters of a daemon from its settings. */
export function createEntryAdapters(settings: EntrySettings): EntryAdapters {
  const {instanceId, clusterSecret, platformAddress, dataFolder} = settings;
  const identity = {self: instanceId, clusterSecret};
  return {
    client: new HttpRpcClient(identity),
    forwarder: new HttpForwarder(identity),
    modelUpstream: new OpenAiUpstream(),
    serviceUpstream: new PlainHttpUpstream(),
    platform:
      platformAddress === undefined
        ? undefined
        : {
            feed: new HttpPlatformFeed(platformAddress),
            directory: new HttpClientDirectory(platformAddress),
          },
    files: dataFolder === undefined ? undefined : new NodeFileLayer(dataFolder),
  };
}

/** Closes the adapters' connections and files. */
export async function closeEntryAdapters(
  adapters: EntryAdapters,
): Promise<void> {
  await adapters.modelUpstream.close();
  await adapters.serviceUpstream.close();
  await adapters.forwarder.close();
  await adapters.client.close();
  await adapters.files?.close();
}
