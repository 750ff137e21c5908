/** Default of `AdmissionOptions.maxWorkspaceShare`. */
export const MAX_WORKSPACE_SHARE = 0.25;

/** Bounds of the retry time that a refusal carries. */
export const MIN_RETRY_AFTER_MS = 100;
export const MAX_RETRY_AFTER_MS = 30_000;

/** Weight of one finished request in the mean service time of its rank. */
export const SERVICE_MEAN_WEIGHT = 0.05;

/** Half-life of the demand that the predicted wait of lower ranks counts. */
export const DEMAND_HALF_LIFE_MS = 5_000;

/** A floor never saves up more than this many requests of credit. */
export const MAX_CREDIT_REQUESTS = 2;

/** Least part of the slots that a prediction assumes for a rank. */
export const MIN_PREDICTED_SHARE = 0.01;

/** A request that was queued may wait this long, however tight its target. */
export const MIN_QUEUE_MS = 100;

/** Below this demand of urgent ranks, nothing is reserved for them. */
export const MIN_URGENT_DEMAND_SHARE = 0.01;
