/** Workspaces of the generated configuration in the form that quotas work with. */
import type {Configuration, WorkspaceConfig} from '../config/configuration.js';
import type {WorkspaceSpec} from '../routes/route_table.js';
import {asId, type Digest} from '../types/ids.js';

/** Built once for each workspace of a configuration in force. */
const specs = new WeakMap<WorkspaceConfig, WorkspaceSpec>();

/** The workspace as a route table would hold it; its ranks are in its workloads. */
export function specOf(workspace: WorkspaceConfig): WorkspaceSpec {
  const known = specs.get(workspace);
  if (known !== undefined) return known;
  const spec = createSpec(workspace);
  specs.set(workspace, spec);
  return spec;
}

function createSpec({
  workspaceId,
  keyDigests,
  allowedRegionIds,
  fairWeight,
  quota,
}: WorkspaceConfig): WorkspaceSpec {
  return {
    name: workspaceId,
    keyDigests: keyDigests.map(digest => asId<Digest>(digest)),
    homeRegions: allowedRegionIds,
    fairWeight,
    ...(quota === undefined ? {} : {quota}),
  };
}

export function hasQuotas({workspaces}: Configuration): boolean {
  return workspaces.some(({quota}) => quota !== undefined);
}
