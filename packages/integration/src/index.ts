export * from './bed/index.js'
