build-address-undefined/src/config/config_settings.o: \
 src/config/config_settings.c src/config/config_int.h src/config/config.h \
 src/base/base.h
src/config/config_int.h:
src/config/config.h:
src/base/base.h:
