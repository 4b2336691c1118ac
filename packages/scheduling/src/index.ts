export { serviceClasses, type PerClass, type ServiceClass } from './service-class.js'
export { RefusalError, refusalError, type Refusal, type RefusalCode } from './refusal.js'
export { ClassPolicy, FifoPolicy, QueuePolicy, type ClassPolicyOptions, type QueueView } from './queue-policy.js'
export { EndpointQueue, type EndpointQueueOptions, type EndpointQueueSnapshot, type JobDescription, type QueueJob } from './endpoint-queue.js'
export { EndpointChooser, RandomChoice, type EndpointChooserOptions, type RequestEnd } from './endpoint-chooser.js'
export { TwoChoices } from './two-choices.js'
export { FastQuantile } from './fast-quantile.js'
export { StartRate } from './start-rate.js'
export { RetryBudget, UnlimitedRetries } from './retry-budget.js'
export { HotBuckets, type HotBucket, type HotBucketsOptions } from './hot-buckets.js'
export {
  defaultBalanceSettings, planBalanceMoves,
  type BalanceInput, type BalanceMove, type BalanceSettings, type BucketLoad, type EndpointLoad
} from './balance.js'
export {
  defaultReliefSettings, planLongJobRelief,
  type LongJobRelief, type ReliefBucket, type ReliefInput, type ReliefSettings
} from './long-job-relief.js'
