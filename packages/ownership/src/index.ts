export * from './records.js'
export * from './control-state.js'
