build-address-undefined/src/config/config_generate.o: \
 src/config/config_generate.c src/config/config_int.h src/config/config.h \
 src/base/base.h
src/config/config_int.h:
src/config/config.h:
src/base/base.h:
